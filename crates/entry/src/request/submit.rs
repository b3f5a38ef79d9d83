//! Submissions and cancellations of callers.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use axum::body::Body;
use axum::extract::Path;
use axum::extract::State as Shared;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::Response;
use dfs_conf::Identity;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Submission;
use dfs_wire::api::FailureReason;
use dfs_wire::api::JobRequest;
use dfs_wire::api::SingleRequest;
use dfs_wire::session::Terms;

use super::body;
use super::key::KeyClaim;
use super::open::CorrelationIds;
use super::open::Open;
use super::refuse::Refusal;
use super::refuse::respond;
use super::routes::Native;
use super::routes::State;

/// Header with the name that the caller gives its submission.
const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// `POST /v1/jobs`.
pub(super) async fn job(
    Shared(state): Shared<Arc<Native>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = group(&state, &headers)?;
    let job: JobRequest = body::read(&state.limits, body).await?;
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
        max_failures: 1,
        constraints: Constraints::default(),
        queue: None,
    };
    submit(state, &headers, submission, job.request_key).await
}

/// `POST /v1/requests`.
pub(super) async fn request(
    Shared(state): Shared<Arc<Native>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = group(&state, &headers)?;
    let request: SingleRequest = body::read(&state.limits, body).await?;
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
        max_failures: 1,
        constraints: Constraints::default(),
        queue: None,
    };
    submit(state, &headers, submission, request.request_key).await
}

/// `DELETE /v1/jobs/{submission}`.
pub(super) async fn cancel(
    Shared(state): Shared<Arc<Native>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<StatusCode, Refusal> {
    let group = group(&state, &headers)?;
    let name: SubmissionId = name
        .parse()
        .map_err(|error| Refusal::new(FailureReason::BadRequest, format!("{error}")))?;
    let Some(submission) = state.find(&group, &name) else {
        let message = format!("no submission {name} of group {group} is open here");
        return Err(Refusal::new(FailureReason::UnknownSubmission, message));
    };
    state.core.event(EntryEvent::Cancel { submission });
    Ok(StatusCode::NO_CONTENT)
}

fn group(state: &State, headers: &HeaderMap) -> Result<GroupId, Refusal> {
    let token = body::token(headers)?;
    if state.holder.held().is_none() {
        return Err(Refusal::no_config());
    }
    match state.holder.owner(token) {
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

/// Deadline of a submission whose time was spent before it was queued.
const SHORTEST_DEADLINE_MS: Millis = Millis::new(1);

async fn submit(
    native: Arc<Native>,
    headers: &HeaderMap,
    mut submission: Submission,
    key: Option<RequestKey>,
) -> Result<Response, Refusal> {
    let name = name(headers)?;
    let ids = CorrelationIds {
        request: name.as_ref().map(ToString::to_string),
        job: key.as_ref().map(ToString::to_string),
    };
    let open = Open::register(Arc::clone(&native.state), name, &submission, ids)?;
    let claim = match key {
        Some(key) => Some(KeyClaim::make(&native, &submission, key).await?),
        None => None,
    };
    if let Some(deadline) = &mut submission.deadline_ms {
        let used = u64::try_from(open.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        // A deadline that passed meanwhile is late, and not malformed like that of 0 ms.
        let shortest = SHORTEST_DEADLINE_MS.min(*deadline);
        *deadline = deadline.saturating_sub(Millis::new(used)).max(shortest);
    }
    let answer = open.run(submission).await;
    let not_run = answer.failure.as_ref().is_some_and(|f| f.not_run);
    if let Some(claim) = claim.filter(|_| not_run) {
        tokio::spawn(claim.release());
    }
    Ok(respond(&answer))
}

fn name(headers: &HeaderMap) -> Result<Option<SubmissionId>, Refusal> {
    let Some(value) = headers.get(SUBMISSION_HEADER) else {
        return Ok(None);
    };
    let bad = |error: String| {
        let message = format!("header {SUBMISSION_HEADER}: {error}");
        Refusal::new(FailureReason::BadRequest, message)
    };
    let text = value.to_str().map_err(|error| bad(error.to_string()))?;
    text.parse()
        .map(Some)
        .map_err(|error: dfs_ids::IdError| bad(error.to_string()))
}

impl State {
    pub fn next_submission_id(&self) -> SubmissionId {
        SubmissionId::numbered(
            self.incarnation,
            self.serial.fetch_add(1, Ordering::Relaxed),
        )
    }

    /// The open submission of that name; a caller that gave none uses the one from its answer.
    fn find(&self, group: &GroupId, name: &SubmissionId) -> Option<SubmissionId> {
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(&(group.clone(), name.clone())).cloned()
    }
}
