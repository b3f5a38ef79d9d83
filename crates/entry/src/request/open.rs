//! Submissions from their arrival to their answer.

use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Instant;

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Submission;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;
use tokio::sync::oneshot;

use super::refuse::Refusal;
use super::routes::SharedState;
use crate::process::Command;

/// Identifiers by which a caller knows its submission; they are only logged.
#[derive(Debug, Clone, Default)]
pub struct CorrelationIds {
    /// Identifier of the request.
    pub request: Option<String>,
    /// Identifier of the job, the same when the caller submits it again.
    pub job: Option<String>,
}

/// An open submission. Dropping it before the answer cancels it, since its caller has disconnected.
pub(crate) struct OpenSubmission {
    state: Arc<SharedState>,
    group: GroupId,
    alias: Option<SubmissionId>,
    submission: SubmissionId,
    ids: CorrelationIds,
    pub arrived_at: Instant,
    /// Whether the core has the submission and has not answered it yet.
    awaits_answer: bool,
}

impl OpenSubmission {
    /// Registers a submission; `alias` is the identifier that its caller gave it, which must be
    /// unique among the open submissions of the group at this entry.
    pub fn register(
        state: Arc<SharedState>,
        alias: Option<SubmissionId>,
        submission: &Submission,
        ids: CorrelationIds,
    ) -> Result<Self, Refusal> {
        let group = submission.group.clone();
        if let Some(alias) = &alias {
            let mut aliases = state.aliases.lock().unwrap_or_else(PoisonError::into_inner);
            let Entry::Vacant(slot) = aliases.entry((group.clone(), alias.clone())) else {
                let message = format!("a submission {alias} of group {group} is open here already");
                return Err(Refusal::new(FailureReason::BadRequest, message));
            };
            slot.insert(submission.id.clone());
        }
        let submission = submission.id.clone();
        Ok(Self {
            state,
            group,
            alias,
            submission,
            ids,
            arrived_at: Instant::now(),
            awaits_answer: false,
        })
    }

    /// Passes the submission to the core and waits for its answer.
    pub async fn run(mut self, submission: Submission) -> Answer {
        let (answer_sender, receiver) = oneshot::channel();
        dfs_log::emit(RequestEvent::Submitted {
            submission: self.submission.clone(),
            request: self.ids.request.clone(),
            job: self.ids.job.clone(),
            group: self.group.clone(),
            service: submission.service.clone(),
            queue: submission.queue.clone(),
            tasks: submission.tasks.len(),
            priority: submission.terms.priority,
            deadline_ms: submission.deadline_ms,
            objective_ms: submission.objective_ms,
            version: self.config_version(),
        });
        self.awaits_answer = true;
        let tasks = submission.tasks.len();
        self.state.core.send(Command::Submit {
            submission,
            answer: answer_sender,
        });
        let answer = receiver.await;
        let mut answer = answer.unwrap_or_else(|_| interrupted_answer(&self.submission, tasks));
        self.awaits_answer = false;
        self.record_outcome(&answer);
        if let Some(alias) = &self.alias {
            answer.submission = Some(alias.clone());
        }
        answer
    }
}

/// The answer to a submission that was still open when the shutdown timed out and the core was
/// aborted.
fn interrupted_answer(submission: &SubmissionId, tasks: usize) -> Answer {
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

impl OpenSubmission {
    fn config_version(&self) -> Option<ConfigVersion> {
        self.state
            .active_config
            .current()
            .map(|config| config.version)
    }

    fn record_outcome(&self, answer: &Answer) {
        let (submission, group) = (self.submission.clone(), self.group.clone());
        let elapsed = u64::try_from(self.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let response_ms = Millis::new(elapsed);
        let Some(failure) = &answer.failure else {
            self.state.metrics.count(Counter::Completed, 1);
            dfs_log::emit(RequestEvent::Complete {
                submission,
                group,
                response_ms,
            });
            return;
        };
        self.state.metrics.count_failure(failure.reason);
        let may_have_run = failure.may_have_run.len();
        dfs_log::emit(match failure.reason {
            FailureReason::Cancelled => RequestEvent::Cancelled {
                submission,
                group,
                may_have_run,
            },
            reason if failure.not_run => RequestEvent::Refused {
                submission: Some(submission),
                request: self.ids.request.clone(),
                job: self.ids.job.clone(),
                group: Some(group),
                reason,
                cause: ErrorText::from(failure.message.as_str()),
                retry_after_ms: failure.retry_after_ms,
                version: self.config_version(),
            },
            reason => RequestEvent::Failed {
                submission,
                group,
                reason,
                cause: ErrorText::from(failure.message.as_str()),
                may_have_run,
                response_ms,
            },
        });
    }
}

impl Drop for OpenSubmission {
    fn drop(&mut self) {
        if let Some(alias) = self.alias.take() {
            let mut aliases = self
                .state
                .aliases
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            aliases.remove(&(self.group.clone(), alias));
        }
        if self.awaits_answer {
            let submission = self.submission.clone();
            self.state
                .core
                .send_event(EntryEvent::Cancel { submission });
        }
    }
}
