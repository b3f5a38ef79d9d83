//! Admission control: accepts a submission into the queue or refuses it at once.

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Service;
use dfs_ids::AgentId;
use dfs_ids::GroupId;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;

use super::Constraints;
use super::Entry;
use super::EntryAction;
use super::Submission;
use super::job::Job;
use super::wait::WaitLimits;
use crate::order::rank;

/// Retry delay advised while the entry has no configuration or is shutting down, or no live target can
/// serve the submission: conditions that are expected to pass soon.
const TRANSIENT_RETRY_AFTER_MS: Millis = Millis::new(1_000);
/// Lower bound of the retry delay advised under overload.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Upper bound of the retry delay advised under overload. The rate at which the queue drains is measured over
/// at most 1.5 s, so a longer estimate says little about the time after it.
const MAX_RETRY_AFTER_MS: Millis = Millis::new(2_000);

impl Entry {
    pub(super) fn on_submit(
        &mut self,
        now: Moment,
        submission: Submission,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(answer) = self.given_up_answer(&submission) {
            out.push(EntryAction::Answer {
                submission: submission.id,
                answer,
            });
            return;
        }
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

    fn enqueue(&mut self, now: Moment, mut submission: Submission) {
        let Some(config) = self.config.clone() else {
            return;
        };
        if !config.rules.placement.is_near_data_enabled() {
            submission.terms.near = None;
        }
        let id = submission.id.clone();
        let deadline = now
            + submission
                .deadline_ms
                .unwrap_or(config.rules.deadlines.default_ms);
        let after_objectives =
            |objective_ms| now + scaled(objective_ms, config.rules.admission.give_up_objectives);
        let objective_ms = self.corrected_objective(&config, &submission);
        let give_up_at = objective_ms.map_or(deadline, after_objectives);
        let shortest_run = self.shortest_run(&submission);
        let mut job = Job::new(submission, now, deadline, give_up_at, shortest_run);
        job.objective_at = objective_ms.map(|objective_ms| now + objective_ms);
        self.apply_crashes(&mut job);
        if self.is_starting(now) {
            self.queued_at_start.push(id.clone());
        }
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
        if self.is_judged_soon(submission) {
            let message = "targets have just crashed under a task of the job: try later";
            let reason = FailureReason::NotReady;
            let retry_after_ms = Some(TRANSIENT_RETRY_AFTER_MS);
            return Err(refusal(reason, message.to_owned(), retry_after_ms));
        }
        if self.is_starting(now) {
            return Ok(());
        }
        let needs = Needs::of(submission);
        if !self.has_live_target(config, &needs) {
            let message = self.no_live_target(&needs);
            let reason = FailureReason::NoTarget;
            let retry_after_ms = self.expected_return(now, &needs);
            let retry_after_ms = retry_after_ms.unwrap_or(TRANSIENT_RETRY_AFTER_MS);
            return Err(refusal(reason, message, Some(retry_after_ms)));
        }
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
        let max_response = |objective_ms| scaled(objective_ms, limits.max_objectives);
        let wait_limits = WaitLimits {
            max_wait_ms: deadline_wait_ms,
            max_response_ms: self
                .corrected_objective(config, submission)
                .map(max_response),
        };
        let expected = self.expected_wait(now, config, submission, wait_limits);
        if expected.is_in_time() {
            return Ok(());
        }
        let (wait_ms, max_wait_ms) = (expected.wait_ms, expected.max_wait_ms);
        let message = format!(
            "the tasks before it need about {}, it can wait for {max_wait_ms} of its deadline \
             of {deadline_ms}: try later or allow more time",
            wait_ms.min(config.rules.deadlines.max_ms)
        );
        let retry_after_ms = expected
            .excess_ms()
            .clamp(Millis::new(MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
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

    /// Whether a live target can run tasks with these needs, however full it is.
    pub(super) fn has_live_target(&self, config: &Config, needs: &Needs) -> bool {
        let Some(group) = config.group(needs.group) else {
            return true;
        };
        let Some(service) = config.service(needs.service) else {
            return true;
        };
        let mut live = self.live_agents(group, service, needs);
        live.next().is_some()
    }

    /// Whether every live target that could run the task has refused it, and there is one.
    pub(super) fn is_refused_by_all(&self, config: &Config, task: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&task.submission) else {
            return false;
        };
        let (group, service) = (config.group(&job.group), config.service(&job.service));
        let Some(((group, service), task)) = group.zip(service).zip(job.task(task.task)) else {
            return false;
        };
        let needs = Needs::of_job(job);
        let mut live = self.live_agents(group, service, &needs).peekable();
        live.peek().is_some() && live.all(|agent| task.refused_by.contains(agent))
    }

    /// Agents of the live targets that can run tasks with these needs, however full they are.
    fn live_agents<'a>(
        &'a self,
        group: &'a Group,
        service: &'a Service,
        needs: &'a Needs,
    ) -> impl Iterator<Item = &'a AgentId> {
        let can_run = move |offer: &Offer| needs.are_met_by(offer, group, service);
        let agents = self.agents.iter();
        agents
            .filter(move |(_, view)| view.offer().is_some_and(can_run))
            .map(|(agent, _)| agent)
            .filter(|agent| self.containment.allows(needs.queue, agent))
    }

    /// Whether tasks with these needs have targets in evacuated failure domains, and none elsewhere that is live or may
    /// return by itself.
    pub(super) fn is_lost_to_evacuation(&self, needs: &Needs) -> bool {
        let config = self.config.as_deref();
        let group = config.and_then(|config| config.group(needs.group));
        let service = config.and_then(|config| config.service(needs.service));
        let Some((group, service)) = group.zip(service) else {
            return false;
        };
        let can_run = |offer: &Offer| needs.are_met_by(offer, group, service);
        let usable = self.agents.iter().filter(|(agent, view)| {
            view.last_offer.as_ref().is_some_and(can_run)
                && self.containment.allows(needs.queue, agent)
        });
        let mut usable = usable.peekable();
        usable.peek().is_some() && usable.all(|(_, view)| view.is_evacuated)
    }

    pub(super) fn no_live_target(&self, needs: &Needs) -> String {
        let (group, service) = (needs.group, needs.service);
        if self.is_lost_to_evacuation(needs) {
            return format!(
                "all targets that have what a task takes and offer {service} to group {group} are in evacuated failure \
                 domains: try later"
            );
        }
        let contained = needs
            .queue
            .filter(|queue| self.containment.contains_queue(queue));
        if let Some(queue) = contained {
            return format!(
                "tasks of queue {queue} crash targets, and none of the targets that are left to it is live: try later"
            );
        }
        format!(
            "no live target that has what a task takes offers {service} to group {group}: try later"
        )
    }

    /// Time until a target that the tasks may use is expected to return from a crash.
    fn expected_return(&self, now: Moment, needs: &Needs) -> Option<Millis> {
        let usable = self.agents.iter().filter(|(agent, view)| {
            view.last_offered(needs.service)
                && !view.is_evacuated
                && self.containment.allows(needs.queue, agent)
        });
        let agents = usable.map(|(agent, _)| agent);
        let return_ms = self.crashes.expected_return(now, agents)?;
        Some(return_ms.clamp(Millis::new(MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
    }
}

/// What the tasks of a submission require of a target.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Needs<'a> {
    pub group: &'a GroupId,
    pub service: &'a ServiceName,
    pub demand: &'a Resources,
    pub label: Option<&'a Label>,
    pub constraints: &'a Constraints,
    pub queue: Option<&'a QueueName>,
}

impl<'a> Needs<'a> {
    const fn of(submission: &'a Submission) -> Self {
        Self {
            group: &submission.group,
            service: &submission.service,
            demand: &submission.terms.demand,
            label: submission.terms.label.as_ref(),
            constraints: &submission.constraints,
            queue: submission.queue.as_ref(),
        }
    }

    pub const fn of_job(job: &'a Job) -> Self {
        Self {
            group: &job.group,
            service: &job.service,
            demand: &job.terms.demand,
            label: job.terms.label.as_ref(),
            constraints: &job.constraints,
            queue: job.queue.as_ref(),
        }
    }

    /// Whether a target with this offer can run the tasks, however full it is.
    fn are_met_by(&self, offer: &Offer, group: &Group, service: &Service) -> bool {
        offer.services.contains(self.service)
            && offer.resources.covers(&service.requires)
            && offer.fraction_per_task(self.demand) <= 1.0
            && offer.has_label(self.label)
            && self.constraints.allow(|| 0)
            && may_use(group, &offer.target)
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
