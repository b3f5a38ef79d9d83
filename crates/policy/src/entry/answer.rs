//! Answering submissions. Each open submission is answered exactly once.

use std::collections::BTreeMap;

use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;
use dfs_wire::api::TaskError;
use dfs_wire::session::EntryItem;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::Job;
use super::job::Task;
use super::job::TaskState;

/// Retry delay advised when attempts are exhausted or the queue is full.
const RETRY_AFTER_MS: Millis = Millis::new(1_000);

impl Entry {
    /// Answers a submission whose tasks have all succeeded.
    pub(super) fn complete(
        &mut self,
        now: Moment,
        submission: &SubmissionId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(job) = self.remove_job(submission) else {
            return;
        };
        out.push(EntryAction::Observe(Observation::SubmissionCompleted {
            group: job.group,
            service: job.service,
            response_us: now.micros_since(job.submitted_at),
            longest_run_us: job.longest_run_us,
            tasks: job.tasks.len() as u64,
            messages: job.messages,
        }));
        let body = |task: Task| match task.state {
            TaskState::Done(body) => Some(RawValue::to_owned(&body)),
            TaskState::Queued | TaskState::Placed { .. } => None,
        };
        let answer = Answer {
            submission: Some(submission.clone()),
            outcome: Outcome::Complete,
            results: job.tasks.into_iter().filter_map(body).collect(),
            failure: None,
        };
        out.push(EntryAction::Answer {
            submission: submission.clone(),
            answer,
        });
    }

    pub(super) fn on_cancel(&mut self, submission: &SubmissionId, out: &mut Vec<EntryAction>) {
        let message = "the caller cancelled the submission".to_owned();
        self.fail(
            submission,
            FailureReason::Cancelled,
            message,
            Vec::new(),
            out,
        );
    }

    pub(super) fn expire_deadlines(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        while let Some((deadline, submission)) = self.deadlines.first().cloned()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let message = "the deadline passed before every task had ended".to_owned();
            self.fail(
                &submission,
                FailureReason::DeadlineExceeded,
                message,
                Vec::new(),
                out,
            );
        }
    }

    /// Fails a submission as a whole, and withdraws its placed tasks so that those not started never run.
    pub(super) fn fail(
        &mut self,
        submission: &SubmissionId,
        reason: FailureReason,
        message: String,
        faults: Vec<TaskError>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(job) = self.remove_job(submission) else {
            return;
        };
        self.withdraw_placed(submission, &job, out);
        let may_have_run = job.may_have_run();
        let failure = Failure {
            reason,
            message,
            not_run: may_have_run.is_empty(),
            may_have_run,
            faults,
            retry_after_ms: retry_after(reason),
        };
        let answer = Answer {
            submission: Some(submission.clone()),
            outcome: Outcome::Failed,
            results: Vec::new(),
            failure: Some(failure),
        };
        out.push(EntryAction::Answer {
            submission: submission.clone(),
            answer,
        });
    }

    fn withdraw_placed(
        &mut self,
        submission: &SubmissionId,
        job: &Job,
        out: &mut Vec<EntryAction>,
    ) {
        let mut by_agent: BTreeMap<AgentId, Vec<TaskRef>> = BTreeMap::new();
        for (agent, task) in job.placed_tasks(submission) {
            by_agent.entry(agent).or_default().push(task);
        }
        for (agent, tasks) in by_agent {
            let connection = self.agents.get(&agent).and_then(|view| view.connection);
            if let Some(connection) = connection {
                self.send_items(connection, vec![EntryItem::Withdraw(tasks)], out);
            }
        }
    }

    fn remove_job(&mut self, submission: &SubmissionId) -> Option<Job> {
        let job = self.jobs.remove(submission)?;
        self.deadlines.remove(&(job.deadline, submission.clone()));
        self.latest_starts
            .remove(&(job.latest_start, submission.clone()));
        self.queue.remove(&job.lane(), submission);
        let pending = u32::try_from(job.pending.len()).unwrap_or(u32::MAX);
        self.queue.remove_tasks(&job.group, pending);
        if !self.queue.has_group(&job.group) {
            self.shares.deactivate(&job.group);
        }
        Some(job)
    }
}

fn retry_after(reason: FailureReason) -> Option<Millis> {
    let is_transient = matches!(
        reason,
        FailureReason::RetriesExhausted | FailureReason::Overloaded | FailureReason::NoTarget
    );
    is_transient.then_some(RETRY_AFTER_MS)
}
