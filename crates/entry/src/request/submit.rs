//! Handlers for submitting and cancelling.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use axum::Extension;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::Response;
use dfs_conf::Identity;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use dfs_listen::Account;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Submission;
use dfs_wire::api::FailureReason;
use dfs_wire::api::JobRequest;
use dfs_wire::api::SingleRequest;
use dfs_wire::session::Terms;

use super::body;
use super::key::ClaimedKey;
use super::open::CorrelationIds;
use super::open::OpenSubmission;
use super::refuse::Refusal;
use super::refuse::respond;
use super::routes::ApiState;
use super::routes::SharedState;

/// Header with the alias that the caller gives its submission, by which it can cancel it.
const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// `POST /v1/jobs`.
pub(super) async fn submit_job(
    State(state): State<Arc<ApiState>>,
    Extension(account): Extension<Account>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = authenticate_group(&state, &headers)?;
    let received = body::read_json(&state.limits, &account, body).await?;
    let (job, _held): (JobRequest, _) = (received.value, received.held);
    let submission = Submission {
        id: state.next_submission_id(),
        group,
        service: job.service,
        tasks: job.tasks.into_iter().map(Arc::from).collect(),
        deadline_ms: job.deadline_ms,
        terms: Terms {
            declared_ms: job.declared_ms.unwrap_or_default(),
            repeatable: false,
            ..Terms::default()
        },
        objective_ms: None,
        max_failures: Some(1),
        constraints: Constraints::default(),
        job: None,
        queue: None,
    };
    run_submission(state, &headers, submission, job.request_key).await
}

/// `POST /v1/requests`.
pub(super) async fn submit_request(
    State(state): State<Arc<ApiState>>,
    Extension(account): Extension<Account>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = authenticate_group(&state, &headers)?;
    let received = body::read_json(&state.limits, &account, body).await?;
    let (request, _held): (SingleRequest, _) = (received.value, received.held);
    let submission = Submission {
        id: state.next_submission_id(),
        group,
        service: request.service,
        tasks: vec![Arc::from(request.body)],
        deadline_ms: request.deadline_ms,
        terms: Terms {
            declared_ms: request.declared_ms.unwrap_or_default(),
            repeatable: request.repeatable,
            ..Terms::default()
        },
        objective_ms: None,
        max_failures: Some(1),
        constraints: Constraints::default(),
        job: None,
        queue: None,
    };
    run_submission(state, &headers, submission, request.request_key).await
}

/// `DELETE /v1/jobs/{submission}`.
pub(super) async fn cancel_submission(
    State(state): State<Arc<ApiState>>,
    Path(alias): Path<String>,
    headers: HeaderMap,
) -> Result<StatusCode, Refusal> {
    let group = authenticate_group(&state, &headers)?;
    let alias: SubmissionId = alias
        .parse()
        .map_err(|error| Refusal::new(FailureReason::BadRequest, format!("{error}")))?;
    let Some(submission) = state.find_by_alias(&group, &alias) else {
        let message = format!("no submission {alias} of group {group} is open here");
        return Err(Refusal::new(FailureReason::UnknownSubmission, message));
    };
    state.core.send_event(EntryEvent::Cancel { submission });
    Ok(StatusCode::NO_CONTENT)
}

fn authenticate_group(state: &SharedState, headers: &HeaderMap) -> Result<GroupId, Refusal> {
    let token = body::bearer_token(headers)?;
    if state.active_config.current().is_none() {
        return Err(Refusal::no_config());
    }
    match state.active_config.token_owner(token) {
        Some(Identity::Group(group)) => Ok(group),
        Some(Identity::Operator(_)) => {
            let message = "an operator's token submits nothing: use a group's";
            Err(Refusal::new(FailureReason::Forbidden, message))
        }
        None => {
            let message = "no group has this token: ask an operator for one";
            Err(Refusal::new(FailureReason::UnknownToken, message))
        }
    }
}

/// Deadline of a submission whose time ran out while its key was claimed.
const MIN_DEADLINE_MS: Millis = Millis::new(1);

async fn run_submission(
    state: Arc<ApiState>,
    headers: &HeaderMap,
    mut submission: Submission,
    key: Option<RequestKey>,
) -> Result<Response, Refusal> {
    let alias = read_alias(headers)?;
    let ids = CorrelationIds {
        request: alias.as_ref().map(ToString::to_string),
        job: key.as_ref().map(ToString::to_string),
    };
    let open = OpenSubmission::register(Arc::clone(&state.shared), alias, &submission, ids)?;
    let claim = match key {
        Some(key) => Some(ClaimedKey::claim(&state, &submission, key).await?),
        None => None,
    };
    if let Some(deadline) = &mut submission.deadline_ms {
        let elapsed = u64::try_from(open.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        // A deadline of 0 ms is refused as malformed, so one that ran out meanwhile stays above it.
        // A deadline that the caller itself set to 0 ms is kept.
        let min_deadline = MIN_DEADLINE_MS.min(*deadline);
        *deadline = deadline
            .saturating_sub(Millis::new(elapsed))
            .max(min_deadline);
    }
    let answer = open.run(submission).await;
    let not_run = answer.failure.as_ref().is_some_and(|f| f.not_run);
    if let Some(claim) = claim.filter(|_| not_run) {
        tokio::spawn(claim.release());
    }
    Ok(respond(&answer))
}

fn read_alias(headers: &HeaderMap) -> Result<Option<SubmissionId>, Refusal> {
    let Some(value) = headers.get(SUBMISSION_HEADER) else {
        return Ok(None);
    };
    let bad_header = |error: String| {
        let message = format!("header {SUBMISSION_HEADER}: {error}");
        Refusal::new(FailureReason::BadRequest, message)
    };
    let text = value
        .to_str()
        .map_err(|error| bad_header(error.to_string()))?;
    text.parse()
        .map(Some)
        .map_err(|error: dfs_ids::IdError| bad_header(error.to_string()))
}

impl SharedState {
    pub fn next_submission_id(&self) -> SubmissionId {
        SubmissionId::numbered(
            self.incarnation,
            self.next_serial.fetch_add(1, Ordering::Relaxed),
        )
    }

    /// Finds an open submission by its alias. Submissions without one are not found.
    fn find_by_alias(&self, group: &GroupId, alias: &SubmissionId) -> Option<SubmissionId> {
        let aliases = self.aliases.lock().unwrap_or_else(PoisonError::into_inner);
        aliases.get(&(group.clone(), alias.clone())).cloned()
    }
}
