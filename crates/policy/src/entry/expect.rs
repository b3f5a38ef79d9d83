//! Expected run times of tasks, by the kind of work and the target.

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_wire::session::Terms;

use super::Entry;
use super::Submission;
use super::job::Job;
use super::job::expected_run_us;
use crate::estimate::SpeedClass;
use crate::speed::WorkKind;

const MICROS_PER_MILLI: f64 = 1_000.0;
/// Interval of the reviews of speeds. An estimate needs some tens of runs to change, which take longer than this.
const SPEED_REVIEW_MS: Millis = Millis::new(100);

impl Entry {
    /// Sets the relative run time of a target instead of learning it, so that decisions that depend on it can be
    /// simulated and tested by themselves.
    pub fn assume_relative_run_time(&mut self, agent: AgentId, relative_run_time: f64) {
        let class = SpeedClass::of(relative_run_time);
        if let Some(view) = self.agents.get_mut(&agent) {
            view.speed_class = class;
        }
        self.assumed_speeds.insert(agent, class);
    }

    /// Run time on an agent's target relative to a typical one, in coarse steps, as of the last review.
    pub(super) fn speed_class(&self, agent: &AgentId) -> SpeedClass {
        let known = self.agents.get(agent).map(|view| view.speed_class);
        let assumed = || self.assumed_speeds.get(agent).copied();
        known.or_else(assumed).unwrap_or_default()
    }

    /// Derives the speeds of all targets anew, at most once in [`SPEED_REVIEW_MS`]. Placement looks at every target for
    /// every task, so it reads the result instead of the evidence.
    pub(super) fn review_speeds(&mut self, now: Moment) {
        if now.since(self.speeds_reviewed_at) < SPEED_REVIEW_MS {
            return;
        }
        self.speeds_reviewed_at = now;
        for (agent, view) in &mut self.agents {
            let assumed = self.assumed_speeds.get(agent).copied();
            let learnt = || SpeedClass::of(self.speeds.relative_run_time(agent, now));
            view.speed_class = assumed.unwrap_or_else(learnt);
        }
    }

    /// Expected run time on a typical target, in microseconds.
    pub(super) fn typical_run_us(
        &self,
        queue: Option<&QueueName>,
        service: &ServiceName,
        terms: &Terms,
    ) -> f64 {
        let run_us = expected_run_us(terms, self.totals.mean_run_us());
        if terms.declared_ms == Millis::default() {
            run_us
        } else {
            run_us * self.speeds.declared_ratio(&work_kind(queue, service))
        }
    }

    /// Expected run time of a task of a job on a typical target, in microseconds.
    pub(super) fn typical_run_of(&self, job: &Job) -> f64 {
        self.typical_run_us(job.queue.as_ref(), &job.service, &job.terms)
    }

    /// Expected run time of a task of a submission on an agent's target, in microseconds.
    pub(super) fn expected_run_on(&self, agent: &AgentId, submission: &SubmissionId) -> f64 {
        let run_us = match self.jobs.get(submission) {
            Some(job) => self.typical_run_of(job) * self.far_factor_at(&job.terms, agent),
            None => self.totals.mean_run_us(),
        };
        run_us * self.speed_class(agent).relative_run_time()
    }

    /// Latency objective of a submission, corrected for the error of the declared run times of its kind.
    ///
    /// The objective of a queue follows from the run time of the job on a healthy target. It was computed from
    /// the declared run time; a healthy target is one of mean speed.
    pub(super) fn corrected_objective(
        &self,
        config: &Config,
        submission: &Submission,
    ) -> Option<Millis> {
        let objective_ms = submission.objective_ms?;
        let declared_ms = submission.terms.declared_ms;
        let mut queues = config.inventory.queues.iter();
        let queue = queues.find(|queue| Some(&queue.queue) == submission.queue.as_ref());
        let Some(queue) = queue.filter(|_| declared_ms > Millis::default()) else {
            return Some(objective_ms);
        };
        let kind = work_kind(submission.queue.as_ref(), &submission.service);
        let declared_ratio = self.speeds.declared_ratio(&kind);
        // Dividing by the mean speed relative to typical targets gives the ratio on a target of mean speed.
        let healthy_ratio = SpeedClass::of(declared_ratio / self.mean_relative_speed());
        let healthy_ms = scaled(declared_ms, healthy_ratio.relative_run_time());
        let corrected_ms = objective_ms + queue.objective_for(healthy_ms);
        Some(corrected_ms.saturating_sub(queue.objective_for(declared_ms)))
    }

    /// Expected run time of a submission's tasks on the fastest live target over the declared one.
    pub(super) fn shortest_run(&self, submission: &Submission) -> f64 {
        let live = self
            .agents
            .iter()
            .filter(|(_, view)| view.offer().is_some());
        let fastest = live.map(|(_, view)| view.speed_class).min();
        let kind = work_kind(submission.queue.as_ref(), &submission.service);
        self.speeds.declared_ratio(&kind) * fastest.unwrap_or_default().relative_run_time()
    }

    /// Mean speed of the live targets relative to typical ones.
    fn mean_relative_speed(&self) -> f64 {
        let live = self
            .agents
            .iter()
            .filter(|(_, view)| view.offer().is_some());
        let (sum, count) = live.fold((0.0, 0.0), |(sum, count), (_, view)| {
            let speed = 1.0 / view.speed_class.relative_run_time();
            (sum + speed, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }
}

pub(super) fn work_kind(queue: Option<&QueueName>, service: &ServiceName) -> WorkKind {
    match queue {
        Some(queue) => WorkKind::Queue(queue.clone()),
        None => WorkKind::Service(service.clone()),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a positive number of milliseconds; a larger one saturates"
)]
fn scaled(duration: Millis, factor: f64) -> Millis {
    Millis::new((duration.get() as f64 * factor) as u64)
}

/// A number of milliseconds in microseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "durations stay far below 2^52 ms"
)]
pub(super) fn micros(duration: Millis) -> f64 {
    duration.get() as f64 * MICROS_PER_MILLI
}
