//! Submissions between their arrival and their answer.

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
use super::routes::State;
use crate::process::Command;

/// What a caller calls its submission, for the log.
#[derive(Debug, Clone, Default)]
pub struct CorrelationIds {
    /// Its name of the request.
    pub request: Option<String>,
    /// Its name of the job, the same when it is handed in again.
    pub job: Option<String>,
}

/// An open submission; dropping it cancels what is not answered, since its caller has gone.
pub(crate) struct Open {
    state: Arc<State>,
    group: GroupId,
    name: Option<SubmissionId>,
    submission: SubmissionId,
    ids: CorrelationIds,
    pub arrived: Instant,
    sent: bool,
}

impl Open {
    pub fn register(
        state: Arc<State>,
        name: Option<SubmissionId>,
        submission: &Submission,
        ids: CorrelationIds,
    ) -> Result<Self, Refusal> {
        let group = submission.group.clone();
        if let Some(name) = &name {
            let mut names = state.names.lock().unwrap_or_else(PoisonError::into_inner);
            let Entry::Vacant(slot) = names.entry((group.clone(), name.clone())) else {
                let message = format!("a submission {name} of group {group} is open here already");
                return Err(Refusal::new(FailureReason::BadRequest, message));
            };
            slot.insert(submission.id.clone());
        }
        let submission = submission.id.clone();
        Ok(Self {
            state,
            group,
            name,
            submission,
            ids,
            arrived: Instant::now(),
            sent: false,
        })
    }

    pub async fn run(mut self, submission: Submission) -> Answer {
        let (answer, waiting) = oneshot::channel();
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
            version: self.version(),
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
    fn version(&self) -> Option<ConfigVersion> {
        self.state.holder.held().map(|config| config.version)
    }

    fn record(&self, answer: &Answer) {
        let (submission, group) = (self.submission.clone(), self.group.clone());
        let elapsed = u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
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
        self.state.metrics.refused(failure.reason);
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
                version: self.version(),
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
