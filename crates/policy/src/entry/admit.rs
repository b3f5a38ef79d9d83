//! Admission: what is refused at once.

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

/// Wait that is advised when the entry or all targets are about to come back.
const SOON_MS: Millis = Millis::new(1_000);
/// Shortest wait that is advised under overload.
const MIN_RETRY_AFTER_MS: u64 = 100;

impl Entry {
    pub(super) fn on_submit(
        &mut self,
        now: Moment,
        submission: Submission,
        out: &mut Vec<EntryAction>,
    ) {
        self.make_room(&submission, out);
        if let Err(failure) = self.admit(now, &submission) {
            let name = submission.id;
            out.push(EntryAction::Answer {
                answer: refused(&name, failure),
                submission: name,
            });
            return;
        }
        self.enqueue(now, submission);
    }

    fn enqueue(&mut self, now: Moment, submission: Submission) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let name = submission.id.clone();
        let deadline = now
            + submission
                .deadline_ms
                .unwrap_or(config.rules.deadlines.default_ms);
        let of_objective =
            |objective_ms| now + scaled(objective_ms, config.rules.admission.give_up_objectives);
        let give_up_at = submission.objective_ms.map_or(deadline, of_objective);
        let job = Job::new(submission, now, deadline, give_up_at);
        let lane = job.lane();
        self.shares.activate(&job.group);
        for _ in &job.tasks {
            self.retries.deposit(&config.rules.retry, &job.group);
        }
        self.queue.count(&job.group, job.left);
        self.queue
            .put(lane, &name, rank(&config.rules.placement, now, job.left));
        self.deadlines.insert((deadline, name.clone()));
        self.latest_starts.insert((job.latest_start, name.clone()));
        self.jobs.insert(name, job);
    }

    fn admit(&self, now: Moment, submission: &Submission) -> Result<(), Failure> {
        let Some(config) = self.config.as_deref().filter(|_| !self.stopping) else {
            let message = "this entry takes no submissions now: try another one";
            return Err(failure(
                FailureReason::NotReady,
                message.to_owned(),
                Some(SOON_MS),
            ));
        };
        let group = check_group(config, submission)?;
        check_size(config, submission)?;
        check_possible(config, group, submission)?;
        self.check_queue(config, submission)?;
        self.check_live(config, submission)?;
        self.check_deadline(now, config, submission)
    }

    fn check_queue(&self, config: &Config, submission: &Submission) -> Result<(), Failure> {
        let limits = &config.rules.admission;
        let added = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let of_group = self.queue.tasks_of(&submission.group).saturating_add(added);
        let of_all = self.queue.tasks().saturating_add(added);
        if of_group > limits.max_queued_tasks_per_group {
            let message = format!(
                "group {} would have {of_group} tasks queued, {} are allowed: try later",
                submission.group, limits.max_queued_tasks_per_group
            );
            return Err(self.overloaded(message));
        }
        if of_all > limits.max_queued_tasks {
            let message = format!(
                "this entry would have {of_all} tasks queued, {} are allowed: try later",
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
        let of_deadline_ms = scaled(deadline_ms, limits.deadline_part);
        let usable_ms = match submission.objective_ms {
            Some(objective_ms) => {
                let longest_ms = scaled(objective_ms, limits.max_objectives);
                of_deadline_ms.min(longest_ms.saturating_sub(submission.terms.declared_ms))
            }
            None => of_deadline_ms,
        };
        let wait_ms = self.expected_wait(now, config, submission);
        if wait_ms <= usable_ms {
            return Ok(());
        }
        let message = format!(
            "the tasks before it need about {wait_ms}, it can wait for {usable_ms} of its deadline \
             of {deadline_ms}: try later or allow more time"
        );
        let after = wait_ms
            .saturating_sub(usable_ms)
            .max(Millis::new(MIN_RETRY_AFTER_MS));
        let reason = FailureReason::DeadlineUnreachable;
        Err(failure(reason, message, Some(after)))
    }

    fn overloaded(&self, message: String) -> Failure {
        let tasks = f64::from(self.queue.tasks());
        let wait_ms = self.totals.time_for(tasks, f64::from(self.live_slots()));
        let after = Millis::new(wait_ms.get().max(MIN_RETRY_AFTER_MS));
        failure(FailureReason::Overloaded, message, Some(after))
    }

    fn live_slots(&self) -> u32 {
        self.agents
            .values()
            .filter_map(|a| a.offer())
            .map(|offer| offer.slots.get())
            .sum()
    }

    fn check_live(&self, config: &Config, submission: &Submission) -> Result<(), Failure> {
        let Some(group) = config.group(&submission.group) else {
            return Ok(());
        };
        let Some(service) = config.service(&submission.service) else {
            return Ok(());
        };
        let may_serve = self.agents.values().any(|agent| {
            agent.offer().is_some_and(|offer| {
                offer.services.contains(&submission.service)
                    && offer.resources.covers(&service.requires)
                    && offer.fraction_per_task(&submission.terms.demand) <= 1.0
                    && submission.constraints.allow(offer, || 0)
                    && allows(group, &offer.target)
            })
        });
        if may_serve {
            return Ok(());
        }
        let message = format!(
            "no live target that has what a task takes offers {} to group {}: try later",
            submission.service, submission.group
        );
        Err(failure(FailureReason::NoTarget, message, Some(SOON_MS)))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the checked rules keep the part between 0 and 1"
)]
fn scaled(span: Millis, part: f64) -> Millis {
    Millis::new((span.get() as f64 * part) as u64)
}

fn check_group<'a>(config: &'a Config, submission: &Submission) -> Result<&'a Group, Failure> {
    let Some(group) = config.group(&submission.group) else {
        let message = format!("group {} is not in the inventory", submission.group);
        return Err(failure(FailureReason::UnknownToken, message, None));
    };
    if !group.services.contains(&submission.service) {
        let message = format!(
            "group {} may not call service {}: ask an operator to add it to the inventory",
            submission.group, submission.service
        );
        return Err(failure(FailureReason::Forbidden, message, None));
    }
    Ok(group)
}

fn check_size(config: &Config, submission: &Submission) -> Result<(), Failure> {
    let count = submission.tasks.len();
    let most = config.rules.admission.max_tasks_per_job;
    if count == 0 {
        let message = "a job needs at least one task".to_owned();
        return Err(failure(FailureReason::BadRequest, message, None));
    }
    if count > most as usize {
        let message = format!("the job has {count} tasks, {most} are allowed: split it");
        return Err(failure(FailureReason::TooLarge, message, None));
    }
    let longest = config.rules.deadlines.max_ms;
    match submission.deadline_ms {
        Some(deadline) if deadline > longest || deadline == Millis::default() => {
            let message = format!("deadline_ms is {deadline}: allowed is 1 ms to {longest}");
            Err(failure(FailureReason::BadRequest, message, None))
        }
        _ => Ok(()),
    }
}

fn check_possible(config: &Config, group: &Group, submission: &Submission) -> Result<(), Failure> {
    let Some(service) = config.service(&submission.service) else {
        let message = format!("service {} is not in the inventory", submission.service);
        return Err(failure(FailureReason::Impossible, message, None));
    };
    let targets = &config.inventory.targets;
    let able = targets.iter().any(|target| {
        target.services.contains(&submission.service)
            && target.resources.covers(&service.requires)
            && allows(group, &target.target)
    });
    if able || targets.is_empty() {
        return Ok(());
    }
    let message = format!(
        "no target of the inventory can run {} for group {}: ask an operator",
        submission.service, submission.group
    );
    Err(failure(FailureReason::Impossible, message, None))
}

/// Whether the group may draw on the target.
pub(super) fn allows(group: &Group, target: &dfs_ids::TargetId) -> bool {
    group.targets.is_empty() || group.targets.contains(target)
}

fn failure(reason: FailureReason, message: String, retry_after_ms: Option<Millis>) -> Failure {
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
