//! Settling placed tasks: results, tasks that did not run, and unknown outcomes.

use std::collections::BTreeSet;
use std::sync::Arc;

use dfs_ids::AgentId;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;
use dfs_wire::api::TaskError;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use serde_json::value::RawValue;

use super::CountedFailure;
use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::TaskState;
use super::view::AgentView;
use super::view::OutstandingTask;
use crate::order::rank;

impl Entry {
    pub(super) fn on_result(
        &mut self,
        now: Moment,
        agent: &AgentId,
        result: TaskResult,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(removed) = self.remove_outstanding(agent, &result.task) else {
            return;
        };
        self.throughput.record_end(removed.priority, removed.load);
        self.totals.record_run(result.run_us);
        if matches!(result.outcome, TaskOutcome::Done(_)) {
            self.record_run(now, agent, &result);
        }
        self.correct_charge(agent, &result);
        self.record_queue_run(now, removed.load, &result, out);
        match result.outcome {
            TaskOutcome::Done(body) => {
                self.record_return(agent);
                self.ejection.record_success(agent, now);
                self.on_done(now, agent, &result.task, result.run_us, body, out);
            }
            TaskOutcome::Failed(message) => {
                // Further failures of a submission that has failed already don't count against targets.
                if self.is_placed(agent, &result.task) {
                    self.record_failure(now, agent, out);
                }
                self.on_failed(agent, &result.task, message, result.run_us, out);
            }
            TaskOutcome::Unknown(message) => {
                if !removed.is_withdrawn {
                    self.record_failure(now, agent, out);
                }
                match self.judged_at(&result.task) {
                    Some(at) => self.hold_until_judged(at, agent, result.task),
                    None => self.on_unknown(agent, &result.task, &message, out),
                }
            }
        }
    }

    /// Removes a task that is settled from the agent's view; `None` if it was not outstanding.
    pub(super) fn remove_outstanding(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
    ) -> Option<OutstandingTask> {
        self.agents.get_mut(agent)?.remove_outstanding(task)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    fn record_run(&mut self, now: Moment, agent: &AgentId, result: &TaskResult) {
        let mean_us = self.totals.mean_run_us();
        let Some(job) = self.jobs.get(&result.task.submission) else {
            return;
        };
        // A longer run away from the task's data says nothing about the speed of the target.
        let far_factor = self.far_factor_at(&job.terms, agent);
        let expected_us = job.expected_run_us(mean_us) * far_factor;
        let ratio = result.run_us.max(1) as f64 / expected_us.max(1.0);
        let (kind, max_slow) = (job.kind(), self.max_slow_targets());
        let near_run_us = self.expected_run_on(agent, &result.task.submission) / far_factor;
        self.record_locality(agent, result, near_run_us);
        self.speeds
            .record_finished(agent, &kind, ratio, max_slow, now);
    }

    /// Replaces the estimate that was charged to the group at placement by the measured run time.
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    fn correct_charge(&mut self, agent: &AgentId, result: &TaskResult) {
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
        job.unfinished -= 1;
        job.longest_run_us = job.longest_run_us.max(run_us);
        let unfinished = job.unfinished;
        let done = job.task_mut(task.task);
        let refused_by = done.map_or_else(BTreeSet::new, |done| {
            done.state = TaskState::Done(body);
            std::mem::take(&mut done.refused_by)
        });
        // Only now is it known that these refusals were not the fault of the task.
        for agent in refused_by {
            if self.agents.contains_key(&agent) {
                self.record_failure(now, &agent, out);
            }
        }
        if unfinished == 0 {
            self.complete(now, &task.submission, out);
        } else {
            self.update_rank(&task.submission);
        }
    }

    fn update_rank(&mut self, submission: &SubmissionId) {
        let Some(config) = &self.config else { return };
        let Some(job) = self.jobs.get(submission) else {
            return;
        };
        if self.queue.contains(submission) {
            let rank = rank(&config.rules.placement, job.submitted_at, job.unfinished);
            self.queue.insert(job.lane(), submission, rank);
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
        if self.count_failed_run(agent, task, run_us, out) {
            self.requeue(agent, task, &message, out);
            return;
        }
        let faults = vec![TaskError {
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

    /// Counts a failed run; true if the task may run again. The limit is that of the queue in the active
    /// configuration, or that of the submission if its queue is gone.
    fn count_failed_run(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        run_us: u64,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let config = self.config.as_deref();
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return false;
        };
        job.longest_run_us = job.longest_run_us.max(run_us);
        let submitted_max_failures = job.max_failures;
        let queue = config.and_then(|config| {
            let mut queues = config.inventory.queues.iter();
            queues.find(|queue| Some(&queue.queue) == job.queue.as_ref())
        });
        let max_failures = queue.map_or(submitted_max_failures, |queue| queue.max_failures);
        let Some(failed) = job.task_mut(task.task) else {
            return false;
        };
        failed.may_have_run = true;
        failed.failed_runs += 1;
        let counted = CountedFailure {
            task: task.clone(),
            agent: agent.clone(),
            failed_runs: failed.failed_runs,
            max_failures,
            submitted_max_failures,
            version: config.map(|config| config.version),
        };
        out.push(EntryAction::Observe(Observation::FailureCounted(counted)));
        max_failures.is_none_or(|max| failed.failed_runs < max)
    }

    /// Settles a task whose outcome will never be known: retries it if it is repeatable, else fails the
    /// submission.
    pub(super) fn on_unknown(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        cause: &str,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_placed(agent, task) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.submission) else {
            return;
        };
        let is_repeatable = job.terms.repeatable;
        if let Some(task) = job.task_mut(task.task) {
            task.may_have_run = true;
        }
        if is_repeatable && self.retry(agent, task, cause, out) {
            return;
        }
        let message = format!("task {} may have run: {cause}", task.task);
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
        if self.remove_outstanding(agent, task).is_none() || !self.is_placed(agent, task) {
            return;
        }
        // Other reasons say nothing of the targets that a submission has left, and come often under load.
        if reason == NotRunReason::Leaving {
            self.is_evacuation_review_due |= !self.evacuations.domains.is_empty();
        }
        if let Some(at) = self.judged_at(task) {
            self.hold_until_judged(at, agent, task.clone());
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
            NotRunReason::ConnectionRefused | NotRunReason::QueueFull => {
                self.record_failure(now, agent, out);
                self.on_refused(agent, task, reason, out);
            }
            NotRunReason::GivenUp => self.on_refused(agent, task, reason, out),
            NotRunReason::NotOffered => {
                let job = self.jobs.get_mut(&task.submission);
                if let Some(refused) = job.and_then(|job| job.task_mut(task.task)) {
                    refused.refused_by.insert(agent.clone());
                }
                self.on_refused(agent, task, reason, out);
            }
        }
    }

    fn on_refused(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        reason: NotRunReason,
        out: &mut Vec<EntryAction>,
    ) {
        let cause = reason.to_string();
        let config = self.config.as_deref();
        let is_refused_by_all = config.is_some_and(|config| self.is_refused_by_all(config, task));
        if !is_refused_by_all && self.retry(agent, task, &cause, out) {
            return;
        }
        self.requeue(agent, task, &cause, out);
        let message = format!("task {} was refused ({reason}): try later", task.task);
        let reason = FailureReason::RetriesExhausted;
        self.fail(&task.submission, reason, message, Vec::new(), out);
    }

    fn on_handed_back(&mut self, agent: &AgentId, task: &TaskRef, out: &mut Vec<EntryAction>) {
        let job = self.jobs.get_mut(&task.submission);
        if let Some(handed_back) = job.and_then(|job| job.task_mut(task.task)) {
            handed_back.hand_backs += 1;
        }
        self.requeue(agent, task, &NotRunReason::Busy.to_string(), out);
    }

    /// Requeues a task that the agent never received: it is missing from the held tasks that the agent
    /// listed when the session was opened.
    pub(super) fn on_never_received(
        &mut self,
        agent: &AgentId,
        task: &TaskRef,
        out: &mut Vec<EntryAction>,
    ) {
        if self.remove_outstanding(agent, task).is_some() && self.is_placed(agent, task) {
            self.requeue(agent, task, "the agent never received it", out);
        }
    }

    /// Requeues a task if its attempts and the retry budget of its group allow it.
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
        let Some(retried) = job.task_mut(task.task) else {
            return false;
        };
        retried.failed_attempts += 1;
        let is_exhausted = retried.failed_attempts >= config.rules.retry.max_attempts;
        if is_exhausted || !self.retry_budget.try_withdraw(&config.rules.retry, &group) {
            out.push(EntryAction::Observe(Observation::RetryRefused { group }));
            return false;
        }
        out.push(EntryAction::Observe(Observation::TaskRetried { group }));
        self.requeue(agent, task, cause, out);
        true
    }

    /// Puts a placed task back into the queue under its next attempt.
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
        let Some(requeued) = job.task_mut(task.task) else {
            return;
        };
        if let TaskState::Placed { charged_us, .. } = requeued.state {
            requeued.state = TaskState::Queued;
            requeued.attempt = requeued.attempt.next();
            requeued.avoid_agent = Some(agent.clone());
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
        self.queue.add_tasks(&job.group, 1);
        let rank = rank(&config.rules.placement, job.submitted_at, job.unfinished);
        self.queue.insert(job.lane(), &task.submission, rank);
    }

    fn is_placed(&self, agent: &AgentId, task: &TaskRef) -> bool {
        self.jobs
            .get(&task.submission)
            .is_some_and(|job| job.is_placed(task, agent))
    }

    /// Counts a failure against a target, which may eject it. Its peers are all targets that offer one of
    /// its services.
    fn record_failure(&mut self, now: Moment, agent: &AgentId, out: &mut Vec<EntryAction>) {
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
        let shares_service =
            |view: &AgentView| offer.services.iter().any(|service| view.offers(service));
        let peers = self.agents.iter().filter(|(_, view)| shares_service(view));
        peers.map(|(peer, _)| peer.clone()).collect()
    }
}
