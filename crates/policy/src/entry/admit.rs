//! Admission control: accepts a submission into the queue or refuses it at once.

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;

use super::Entry;
use super::EntryAction;
use super::Submission;
use super::job::Job;
use crate::order::rank;

/// Retry delay advised while the entry has no configuration or is shutting down, or no live target can
/// serve the submission: conditions that are expected to pass soon.
const TRANSIENT_RETRY_AFTER_MS: Millis = Millis::new(1_000);
/// Lower bound of the retry delay advised under overload.
const MIN_RETRY_AFTER_MS: u64 = 100;

impl Entry {
    pub(super) fn on_submit(
        &mut self,
        now: Moment,
        submission: Submission,
        out: &mut Vec<EntryAction>,
    ) {
        self.evict_for(&submission, out);
        if let Err(failure) = self.admit(now, &submission) {
            let id = submission.id;
            out.push(EntryAction::Answer {
                answer: refused(&id, failure),
                submission: id,
            });
            return;
        }
        self.enqueue(now, submission);
    }

    fn enqueue(&mut self, now: Moment, submission: Submission) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let id = submission.id.clone();
        let deadline = now
            + submission
                .deadline_ms
                .unwrap_or(config.rules.deadlines.default_ms);
        let after_objectives =
            |objective_ms| now + scaled(objective_ms, config.rules.admission.give_up_objectives);
        let give_up_at = submission.objective_ms.map_or(deadline, after_objectives);
        let job = Job::new(submission, now, deadline, give_up_at);
        let lane = job.lane();
        self.shares.activate(&job.group);
        for _ in &job.tasks {
            self.retry_budget.deposit(&config.rules.retry, &job.group);
        }
        self.queue.add_tasks(&job.group, job.unfinished);
        self.queue.insert(
            lane,
            &id,
            rank(&config.rules.placement, now, job.unfinished),
        );
        self.deadlines.insert((deadline, id.clone()));
        self.latest_starts.insert((job.latest_start, id.clone()));
        self.jobs.insert(id, job);
    }

    fn admit(&self, now: Moment, submission: &Submission) -> Result<(), Failure> {
        let Some(config) = self.config.as_deref().filter(|_| !self.is_shutting_down) else {
            let message = "this entry takes no submissions now: try another one";
            return Err(refusal(
                FailureReason::NotReady,
                message.to_owned(),
                Some(TRANSIENT_RETRY_AFTER_MS),
            ));
        };
        let group = check_group(config, submission)?;
        check_size(config, submission)?;
        check_feasible(config, group, submission)?;
        self.check_queue_limits(config, submission)?;
        self.check_live_target(config, submission)?;
        self.check_deadline(now, config, submission)
    }

    fn check_queue_limits(&self, config: &Config, submission: &Submission) -> Result<(), Failure> {
        let limits = &config.rules.admission;
        let added = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let group_tasks = self
            .queue
            .group_task_count(&submission.group)
            .saturating_add(added);
        let all_tasks = self.queue.task_count().saturating_add(added);
        if group_tasks > limits.max_queued_tasks_per_group {
            let message = format!(
                "group {} would have {group_tasks} tasks queued, {} are allowed: try later",
                submission.group, limits.max_queued_tasks_per_group
            );
            return Err(self.overloaded(message));
        }
        if all_tasks > limits.max_queued_tasks {
            let message = format!(
                "this entry would have {all_tasks} tasks queued, {} are allowed: try later",
                limits.max_queued_tasks
            );
            return Err(self.overloaded(message));
        }
        Ok(())
    }

    fn check_deadline(
        &self,
        now: Moment,
        config: &Config,
        submission: &Submission,
    ) -> Result<(), Failure> {
        let deadline_ms = submission
            .deadline_ms
            .unwrap_or(config.rules.deadlines.default_ms);
        let limits = &config.rules.admission;
        let deadline_wait_ms = scaled(deadline_ms, limits.deadline_part);
        let max_wait_ms = match submission.objective_ms {
            Some(objective_ms) => {
                let max_response_ms = scaled(objective_ms, limits.max_objectives);
                deadline_wait_ms.min(max_response_ms.saturating_sub(submission.terms.declared_ms))
            }
            None => deadline_wait_ms,
        };
        let wait_ms = self.expected_wait(now, config, submission);
        if wait_ms <= max_wait_ms {
            return Ok(());
        }
        let message = format!(
            "the tasks before it need about {wait_ms}, it can wait for {max_wait_ms} of its deadline \
             of {deadline_ms}: try later or allow more time"
        );
        let retry_after_ms = wait_ms
            .saturating_sub(max_wait_ms)
            .max(Millis::new(MIN_RETRY_AFTER_MS));
        let reason = FailureReason::DeadlineUnreachable;
        Err(refusal(reason, message, Some(retry_after_ms)))
    }

    fn overloaded(&self, message: String) -> Failure {
        let tasks = f64::from(self.queue.task_count());
        let wait_ms = self.totals.time_to_run(tasks, f64::from(self.live_slots()));
        let retry_after_ms = Millis::new(wait_ms.get().max(MIN_RETRY_AFTER_MS));
        refusal(FailureReason::Overloaded, message, Some(retry_after_ms))
    }

    fn live_slots(&self) -> u32 {
        self.agents
            .values()
            .filter_map(|a| a.offer())
            .map(|offer| offer.slots.get())
            .sum()
    }

    fn check_live_target(&self, config: &Config, submission: &Submission) -> Result<(), Failure> {
        let Some(group) = config.group(&submission.group) else {
            return Ok(());
        };
        let Some(service) = config.service(&submission.service) else {
            return Ok(());
        };
        let can_serve = self.agents.values().any(|agent| {
            agent.offer().is_some_and(|offer| {
                offer.services.contains(&submission.service)
                    && offer.resources.covers(&service.requires)
                    && offer.fraction_per_task(&submission.terms.demand) <= 1.0
                    && submission.constraints.allow(offer, || 0)
                    && may_use(group, &offer.target)
            })
        });
        if can_serve {
            return Ok(());
        }
        let message = format!(
            "no live target that has what a task takes offers {} to group {}: try later",
            submission.service, submission.group
        );
        Err(refusal(
            FailureReason::NoTarget,
            message,
            Some(TRANSIENT_RETRY_AFTER_MS),
        ))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the validated rules keep the factor between 0 and 1"
)]
fn scaled(duration: Millis, factor: f64) -> Millis {
    Millis::new((duration.get() as f64 * factor) as u64)
}

fn check_group<'a>(config: &'a Config, submission: &Submission) -> Result<&'a Group, Failure> {
    let Some(group) = config.group(&submission.group) else {
        let message = format!("group {} is not in the inventory", submission.group);
        return Err(refusal(FailureReason::UnknownToken, message, None));
    };
    if !group.services.contains(&submission.service) {
        let message = format!(
            "group {} may not call service {}: ask an operator to add it to the inventory",
            submission.group, submission.service
        );
        return Err(refusal(FailureReason::Forbidden, message, None));
    }
    Ok(group)
}

fn check_size(config: &Config, submission: &Submission) -> Result<(), Failure> {
    let count = submission.tasks.len();
    let max_tasks = config.rules.admission.max_tasks_per_job;
    if count == 0 {
        let message = "a job needs at least one task".to_owned();
        return Err(refusal(FailureReason::BadRequest, message, None));
    }
    if count > max_tasks as usize {
        let message = format!("the job has {count} tasks, {max_tasks} are allowed: split it");
        return Err(refusal(FailureReason::TooLarge, message, None));
    }
    let max_deadline = config.rules.deadlines.max_ms;
    match submission.deadline_ms {
        Some(deadline) if deadline > max_deadline || deadline == Millis::default() => {
            let message = format!("deadline_ms is {deadline}: allowed is 1 ms to {max_deadline}");
            Err(refusal(FailureReason::BadRequest, message, None))
        }
        _ => Ok(()),
    }
}

fn check_feasible(config: &Config, group: &Group, submission: &Submission) -> Result<(), Failure> {
    let Some(service) = config.service(&submission.service) else {
        let message = format!("service {} is not in the inventory", submission.service);
        return Err(refusal(FailureReason::Impossible, message, None));
    };
    let targets = &config.inventory.targets;
    let can_serve = targets.iter().any(|target| {
        target.services.contains(&submission.service)
            && target.resources.covers(&service.requires)
            && may_use(group, &target.target)
    });
    // The inventory may list no targets; then feasibility can't be judged.
    if can_serve || targets.is_empty() {
        return Ok(());
    }
    let message = format!(
        "no target of the inventory can run {} for group {}: ask an operator",
        submission.service, submission.group
    );
    Err(refusal(FailureReason::Impossible, message, None))
}

/// Whether the group may run tasks on the target; a group without a target list may use all.
pub(super) fn may_use(group: &Group, target: &dfs_ids::TargetId) -> bool {
    group.targets.is_empty() || group.targets.contains(target)
}

fn refusal(reason: FailureReason, message: String, retry_after_ms: Option<Millis>) -> Failure {
    Failure {
        reason,
        message,
        not_run: true,
        may_have_run: Vec::new(),
        faults: Vec::new(),
        retry_after_ms,
    }
}

fn refused(submission: &SubmissionId, failure: Failure) -> Answer {
    Answer {
        submission: Some(submission.clone()),
        outcome: Outcome::Failed,
        results: Vec::new(),
        failure: Some(failure),
    }
}
