//! Settling tasks: results, refusals and outcomes that nobody will know.

use std::sync::Arc;

use dfs_ids::AgentId;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;
use dfs_wire::api::TaskFault;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use serde_json::value::RawValue;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::TaskState;
use super::view::AgentView;
use super::view::Weight;
use crate::order::rank;

impl Entry {
    pub(super) fn on_result(
        &mut self,
        now: Moment,
        agent: &AgentId,
        result: TaskResult,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(weight) = self.release(agent, &result.task) else {
            return;
        };
        self.throughput.record_end(weight.priority, weight.part);
        self.totals.ran(result.run_us);
        if matches!(result.outcome, TaskOutcome::Done(_)) {
            self.note_run(now, agent, &result);
        }
        self.settle_charge(agent, &result);
        match result.outcome {
            TaskOutcome::Done(body) => {
                self.ejection.record_success(agent, now);
                self.on_done(now, agent, &result.task, result.run_us, body, out);
            }
            TaskOutcome::Failed(message) => {
                // The other tasks of a job that has failed already blame nobody.
                if self.is_placed(agent, &result.task) {
                    self.note_failure(now, agent, out);
                }
                self.on_failed(agent, &result.task, message, result.run_us, out);
            }
            TaskOutcome::Unknown(message) => {
                self.note_failure(now, agent, out);
                self.on_unknown(agent, &result.task, &message, out);
            }
        }
    }

    /// Removes a task from what the agent holds, and returns what it weighed if it was there.
    pub(super) fn release(&mut self, agent: &AgentId, task: &TaskRef) -> Option<Weight> {
        self.agents.get_mut(agent)?.release(task)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    fn note_run(&mut self, now: Moment, agent: &AgentId, result: &TaskResult) {
        let mean_us = self.totals.mean_run_us();
        let job = self.jobs.get(&result.task.submission);
        let expected_us = job.map_or(mean_us, |job| job.expected_run_us(mean_us));
        let stretch = result.run_us as f64 / expected_us.max(1.0);
        self.speeds.record_finished(agent, stretch, now);
    }

    /// Replaces the estimate that was charged at placement by the measured run time.
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    fn settle_charge(&mut self, agent: &AgentId, result: &TaskResult) {
        let Some(job) = self.jobs.get(&result.task.submission) else {
            return;
        };
        if !job.is_placed(&result.task, agent) {
            return;
        }
        let Some(task) = job.task(result.task.task) else {
            return;
        };
        if let TaskState::Placed { charged_us, .. } = task.state {
            self.shares
                .charge(&job.group, result.run_us as f64 - charged_us);
            self.totals.charge(&job.group, result.run_us);
        }
    }

    fn on_done(
        &mut self,
        now: Moment,
        agent: &AgentId,
        task: &TaskRef,
        run_us: u64,
        body: Arc<RawValue>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return;
        };
        if !job.is_placed(task, agent) {
            return;
        }
        let wait_us = now.micros_since(job.submitted_at).saturating_sub(run_us);
        out.push(EntryAction::Observe(Observation::TaskDone {
            group: job.group.clone(),
            service: job.service.clone(),
            wait_us,
            run_us,
        }));
        job.left -= 1;
        job.longest_run_us = job.longest_run_us.max(run_us);
        let left = job.left;
        if let Some(task) = job.task_mut(task.task) {
            task.state = TaskState::Done(body);
        }
        if left == 0 {
            self.complete(now, &task.submission, out);
        } else {
            self.renew_rank(&task.submission);
        }
    }

    fn renew_rank(&mut self, submission: &SubmissionId) {
        let Some(config) = &self.config else { return };
        let Some(job) = self.jobs.get(submission) else {
            return;
        };
        if self.queue.contains(submission) {
            let rank = rank(&config.rules.placement, job.submitted_at, job.left);
            self.queue.put(job.lane(), submission, rank);
        }
    }

    fn on_failed(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        message: String,
        run_us: u64,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_placed(agent, task) {
            return;
        }
        if self.may_run_again(task, run_us) {
            self.requeue(agent, task, &message, out);
            return;
        }
        let faults = vec![TaskFault {
            task: task.task,
            message,
        }];
        let message = format!("task {} failed on its target", task.task);
        self.fail(
            &task.submission,
            FailureReason::TaskFailed,
            message,
            faults,
            out,
        );
    }

    /// Counts a failed run; whether the task may have another one.
    fn may_run_again(&mut self, task: &TaskRef, run_us: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return false;
        };
        job.longest_run_us = job.longest_run_us.max(run_us);
        let max_failures = job.max_failures;
        let Some(failed) = job.task_mut(task.task) else {
            return false;
        };
        failed.may_have_run = true;
        failed.failed_runs += 1;
        failed.failed_runs < max_failures
    }

    /// A task whose outcome nobody will ever know.
    pub(super) fn on_unknown(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        why: &str,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_placed(agent, task) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return;
        };
        let repeatable = job.terms.repeatable;
        if let Some(task) = job.task_mut(task.task) {
            task.may_have_run = true;
        }
        if repeatable && self.retry(agent, task, why, out) {
            return;
        }
        let message = format!("task {} may have run: {why}", task.task);
        self.fail(
            &task.submission,
            FailureReason::OutcomeUnknown,
            message,
            Vec::new(),
            out,
        );
    }

    pub(super) fn on_not_run(
        &mut self,
        now: Moment,
        agent: &AgentId,
        task: &TaskRef,
        reason: NotRunReason,
        out: &mut Vec<EntryAction>,
    ) {
        if self.release(agent, task).is_none() || !self.is_placed(agent, task) {
            return;
        }
        match reason {
            NotRunReason::Leaving | NotRunReason::Withdrawn => {
                self.requeue(agent, task, &reason.to_string(), out);
            }
            NotRunReason::Busy => self.on_handed_back(agent, task, out),
            NotRunReason::Expired => {
                self.requeue(agent, task, &reason.to_string(), out);
                let message = format!("task {} did not start before its deadline", task.task);
                self.fail(
                    &task.submission,
                    FailureReason::DeadlineExceeded,
                    message,
                    vec![],
                    out,
                );
            }
            NotRunReason::ConnectionRefused
            | NotRunReason::QueueFull
            | NotRunReason::NotOffered => {
                self.note_failure(now, agent, out);
                let cause = reason.to_string();
                if !self.retry(agent, task, &cause, out) {
                    self.requeue(agent, task, &cause, out);
                    let message = format!("task {} was refused ({reason}): try later", task.task);
                    let reason = FailureReason::RetriesExhausted;
                    self.fail(&task.submission, reason, message, Vec::new(), out);
                }
            }
        }
    }

    fn on_handed_back(&mut self, agent: &AgentId, task: &TaskRef, out: &mut Vec<EntryAction>) {
        let job = self.jobs.get_mut(&task.submission);
        if let Some(handed_back) = job.and_then(|job| job.task_mut(task.task)) {
            handed_back.hand_backs += 1;
        }
        self.requeue(agent, task, &NotRunReason::Busy.to_string(), out);
    }

    /// A task that the agent never read, as its list after the fence shows.
    pub(super) fn on_absent(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        out: &mut Vec<EntryAction>,
    ) {
        if self.release(agent, task).is_some() && self.is_placed(agent, task) {
            self.requeue(agent, task, "the agent never read it", out);
        }
    }

    /// Makes a further attempt if the budget allows it.
    fn retry(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        cause: &str,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(config) = self.config.clone() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return false;
        };
        let group = job.group.clone();
        let Some(failing) = job.task_mut(task.task) else {
            return false;
        };
        failing.failures += 1;
        let too_often = failing.failures >= config.rules.retry.max_attempts;
        if too_often || !self.retries.try_withdraw(&config.rules.retry, &group) {
            out.push(EntryAction::Observe(Observation::RetryRefused { group }));
            return false;
        }
        out.push(EntryAction::Observe(Observation::TaskRetried { group }));
        self.requeue(agent, task, cause, out);
        true
    }

    /// Queues a placed task anew under its next attempt.
    fn requeue(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        cause: &str,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return;
        };
        let Some(again) = job.task_mut(task.task) else {
            return;
        };
        if let TaskState::Placed { charged_us, .. } = again.state {
            again.state = TaskState::Queued;
            again.attempt = again.attempt.next();
            again.avoid = Some(agent.clone());
            job.pending.push_back(task.task);
            self.latest_starts
                .insert((job.latest_start, task.submission.clone()));
            self.shares.charge(&job.group, -charged_us);
            out.push(EntryAction::Observe(Observation::TaskRequeued {
                task: task.clone(),
                agent: agent.clone(),
                cause: cause.to_owned(),
            }));
        }
        self.queue.count(&job.group, 1);
        let rank = rank(&config.rules.placement, job.submitted_at, job.left);
        self.queue.put(job.lane(), &task.submission, rank);
    }

    fn is_placed(&self, agent: &AgentId, task: &TaskRef) -> bool {
        self.jobs
            .get(&task.submission)
            .is_some_and(|job| job.is_placed(task, agent))
    }

    /// Counts a failure against a target, compared with those that share a service with it.
    fn note_failure(&mut self, now: Moment, agent: &AgentId, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let peers = self.peers(agent);
        let rules = &config.rules.ejection;
        if self.ejection.record_failure(rules, agent, &peers, now) {
            let agent = agent.clone();
            out.push(EntryAction::Observe(Observation::TargetEjected { agent }));
        }
    }

    fn peers(&self, agent: &AgentId) -> Vec<AgentId> {
        let Some(offer) = self.agents.get(agent).and_then(AgentView::offer) else {
            return Vec::new();
        };
        let shares = |view: &AgentView| offer.services.iter().any(|service| view.offers(service));
        let peers = self.agents.iter().filter(|(_, view)| shares(view));
        peers.map(|(peer, _)| peer.clone()).collect()
    }
}
