//! Submissions and cancellations of callers.

use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Instant;

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
use dfs_ids::TaskIndex;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Submission;
use dfs_store::Claim;
use dfs_store::Claims;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::JobRequest;
use dfs_wire::api::Outcome;
use dfs_wire::api::SingleRequest;
use tokio::sync::oneshot;

use super::body;
use super::refuse::Refusal;
use super::refuse::respond;
use super::routes::State;
use crate::process::Command;

/// Header with the name that the caller gives its submission.
const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// `POST /v1/jobs`.
pub(super) async fn job(
    Shared(state): Shared<Arc<State>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = group(&state, &headers)?;
    let job: JobRequest = body::read(&state.limits, body).await?;
    let submission = Submission {
        submission: state.next_submission(),
        group,
        service: job.service,
        tasks: job.tasks.into_iter().map(Arc::from).collect(),
        deadline_ms: job.deadline_ms,
        declared_ms: job.declared_ms,
        repeatable: false,
    };
    submit(state, &headers, submission, job.request_key).await
}

/// `POST /v1/requests`.
pub(super) async fn request(
    Shared(state): Shared<Arc<State>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let group = group(&state, &headers)?;
    let request: SingleRequest = body::read(&state.limits, body).await?;
    let submission = Submission {
        submission: state.next_submission(),
        group,
        service: request.service,
        tasks: vec![Arc::from(request.body)],
        deadline_ms: request.deadline_ms,
        declared_ms: request.declared_ms,
        repeatable: request.repeatable,
    };
    submit(state, &headers, submission, request.request_key).await
}

/// `DELETE /v1/jobs/{submission}`.
pub(super) async fn cancel(
    Shared(state): Shared<Arc<State>>,
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
    state: Arc<State>,
    headers: &HeaderMap,
    mut submission: Submission,
    key: Option<RequestKey>,
) -> Result<Response, Refusal> {
    let name = name(headers)?;
    let open = Open::register(state, name, &submission)?;
    if let Some(key) = &key {
        claim(&open.state, &submission, key).await?;
    }
    if let Some(deadline) = &mut submission.deadline_ms {
        let used = u64::try_from(open.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        // A deadline that passed meanwhile is late, and not malformed like that of 0 ms.
        let shortest = SHORTEST_DEADLINE_MS.min(*deadline);
        *deadline = deadline.saturating_sub(Millis::new(used)).max(shortest);
    }
    let claimed = key.map(|key| Claimed {
        state: Arc::clone(&open.state),
        group: submission.group.clone(),
        key,
        holder: submission.submission.clone(),
    });
    let answer = open.run(submission).await;
    let not_run = answer.failure.as_ref().is_some_and(|f| f.not_run);
    if let Some(claimed) = claimed.filter(|_| not_run) {
        tokio::spawn(claimed.release());
    }
    Ok(respond(&answer))
}

/// A request key whose submission did not run and never will.
struct Claimed {
    state: Arc<State>,
    group: GroupId,
    key: RequestKey,
    holder: SubmissionId,
}

impl Claimed {
    /// Gives the key back, without holding up the answer.
    async fn release(self) {
        let claimer = &self.state.claimer;
        // A key that could not be given back stays taken, which keeps the promise of one run.
        let _ = claimer.release(&self.group, &self.key, self.holder).await;
    }
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

async fn claim(
    state: &Arc<State>,
    submission: &Submission,
    key: &RequestKey,
) -> Result<(), Refusal> {
    let group = submission.group.clone();
    let submission = submission.submission.clone();
    match state.claimer.claim(&group, key, submission.clone()).await {
        Claim::Claimed => {
            dfs_log::emit(RequestEvent::KeyClaimed { submission, group });
            Ok(())
        }
        Claim::Taken { holder } => {
            dfs_log::emit(RequestEvent::KeyConflict { submission, group });
            let message = format!(
                "request key {key} belongs to submission {holder}, which may have run; \
                 this one did not"
            );
            Err(Refusal::new(FailureReason::KeyConflict, message))
        }
        Claim::Unavailable {
            reason,
            retry_after_ms,
        } => {
            let claimed = Claimed {
                state: Arc::clone(state),
                group: group.clone(),
                key: key.clone(),
                holder: submission.clone(),
            };
            // The claim may have been made although its reply was lost.
            tokio::spawn(claimed.release());
            let error = ErrorText::new(&reason);
            dfs_log::emit(RequestEvent::KeyUnavailable {
                submission,
                group,
                error,
            });
            let message = format!("request key {key} could not be claimed: {reason}");
            let refusal = Refusal::new(FailureReason::KeyUnavailable, message);
            Err(refusal.retry_after(retry_after_ms))
        }
    }
}

/// An open submission; dropping it cancels what is not answered, since its caller has gone.
struct Open {
    state: Arc<State>,
    group: GroupId,
    name: Option<SubmissionId>,
    submission: SubmissionId,
    arrived: Instant,
    sent: bool,
}

impl Open {
    fn register(
        state: Arc<State>,
        name: Option<SubmissionId>,
        submission: &Submission,
    ) -> Result<Self, Refusal> {
        let group = submission.group.clone();
        if let Some(name) = &name {
            let mut names = state.names.lock().unwrap_or_else(PoisonError::into_inner);
            let Entry::Vacant(slot) = names.entry((group.clone(), name.clone())) else {
                let message = format!("a submission {name} of group {group} is open here already");
                return Err(Refusal::new(FailureReason::BadRequest, message));
            };
            slot.insert(submission.submission.clone());
        }
        let submission = submission.submission.clone();
        Ok(Self {
            state,
            group,
            name,
            submission,
            arrived: Instant::now(),
            sent: false,
        })
    }

    async fn run(mut self, submission: Submission) -> Answer {
        let (answer, waiting) = oneshot::channel();
        dfs_log::emit(RequestEvent::Submitted {
            submission: self.submission.clone(),
            group: self.group.clone(),
            service: submission.service.clone(),
            tasks: submission.tasks.len(),
        });
        self.sent = true;
        let tasks = submission.tasks.len();
        self.state.core.send(Command::Submit { submission, answer });
        let answer = waiting.await;
        let mut answer = answer.unwrap_or_else(|_| cut_off(&self.submission, tasks));
        self.sent = false;
        self.record(&answer);
        if let Some(name) = &self.name {
            answer.submission = Some(name.clone());
        }
        answer
    }
}

/// The answer of an entry whose planned stop has passed its bound.
fn cut_off(submission: &SubmissionId, tasks: usize) -> Answer {
    let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
    let failure = Failure {
        reason: FailureReason::OutcomeUnknown,
        message: "this entry has stopped: every task may have run".to_owned(),
        not_run: false,
        may_have_run: (0..tasks).map(TaskIndex::new).collect(),
        faults: Vec::new(),
        retry_after_ms: None,
    };
    Answer {
        submission: Some(submission.clone()),
        outcome: Outcome::Failed,
        results: Vec::new(),
        failure: Some(failure),
    }
}

impl Open {
    fn record(&self, answer: &Answer) {
        let (submission, group) = (self.submission.clone(), self.group.clone());
        let elapsed = u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        let response_ms = Millis::new(elapsed);
        let Some(failure) = &answer.failure else {
            dfs_log::emit(RequestEvent::Complete {
                submission,
                group,
                response_ms,
            });
            return;
        };
        self.state.metrics.refused(failure.reason);
        let may_have_run = failure.may_have_run.len();
        dfs_log::emit(match failure.reason {
            FailureReason::Cancelled => RequestEvent::Cancelled {
                submission,
                group,
                may_have_run,
            },
            reason if failure.not_run => RequestEvent::Refused {
                group: Some(group),
                reason,
                retry_after_ms: failure.retry_after_ms,
            },
            reason => RequestEvent::Failed {
                submission,
                group,
                reason,
                may_have_run,
                response_ms,
            },
        });
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(name) = self.name.take() {
            let mut names = self
                .state
                .names
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            names.remove(&(self.group.clone(), name));
        }
        if self.sent {
            let submission = self.submission.clone();
            self.state.core.event(EntryEvent::Cancel { submission });
        }
    }
}

impl State {
    fn next_submission(&self) -> SubmissionId {
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
