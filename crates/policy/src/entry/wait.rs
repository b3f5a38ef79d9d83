//! Estimate of the time that a new submission will wait, from what this entry knows.

use std::collections::BTreeMap;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;

use super::Entry;
use super::Submission;
use super::admit::may_use;
use super::job::Job;
use super::job::millis_from_micros;
use super::queue::Lane;
use super::view::AgentView;
use crate::estimate::SpeedClass;
use crate::order::Rank;
use crate::order::rank;

/// Capacity and load of the targets that a submission may use, in units of one whole target.
#[derive(Debug, Clone, Copy, Default)]
struct Capacity {
    /// Number of targets that the group may use.
    targets: f64,
    /// Number of all targets of the service, also those that the group may not use.
    service_targets: f64,
    free: f64,
    running: f64,
    /// Load of the tasks queued at the agents.
    queued: f64,
    /// Load that this entry has placed.
    own_load: f64,
    /// Load released per microsecond as this entry's tasks end, if all targets were of typical speed.
    own_release_rate: f64,
    /// Sum over the targets of their speed relative to a typical one.
    speed: f64,
    /// Sum over the targets of the load of one task of the submission.
    task_load_sum: f64,
}

/// Work that is served before a submission.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    /// Number of tasks queued at this entry that are placed first.
    queued_tasks: u32,
    /// Fraction of this entry's placed tasks that belong to the group; only known while tasks are queued at agents.
    placed_fraction: Option<f64>,
}

impl Capacity {
    /// Adds a target; `left` is the number of tasks that it may get, if its load returns only gradually.
    fn add(&mut self, view: &AgentView, class: SpeedClass, task_load: f64, left: Option<u32>) {
        let load = view.load();
        let relative_run_time = class.relative_run_time();
        let free = (1.0 - load).max(0.0);
        self.targets += 1.0;
        self.speed += 1.0 / relative_run_time;
        self.free += left.map_or(free, |left| free.min(f64::from(left) * task_load));
        self.running += load.min(1.0);
        self.queued += (load - 1.0).max(0.0);
        self.own_load += view.own_load;
        self.own_release_rate += view.own_release_rate * relative_run_time;
        self.task_load_sum += task_load;
    }

    /// The capacity of two disjoint sets of targets.
    fn merged(self, other: Self) -> Self {
        Self {
            targets: self.targets + other.targets,
            service_targets: self.service_targets + other.service_targets,
            free: self.free + other.free,
            running: self.running + other.running,
            queued: self.queued + other.queued,
            own_load: self.own_load + other.own_load,
            own_release_rate: self.own_release_rate + other.own_release_rate,
            speed: self.speed + other.speed,
            task_load_sum: self.task_load_sum + other.task_load_sum,
        }
    }

    /// Mean load of one task over all targets.
    fn mean_task_load(&self) -> f64 {
        self.task_load_sum / self.targets.max(1.0)
    }

    /// Fraction of this capacity that a group is entitled to. Its share applies to all targets of the
    /// service, so a group restricted to a few targets may be entitled to all of those.
    fn entitled_fraction(&self, group_share: f64) -> f64 {
        (group_share * self.service_targets / self.targets.max(1.0)).min(1.0)
    }

    /// Load released per microsecond as tasks of all entries end. Assumes that all targets are full, as
    /// they are while tasks wait. Faster targets release more.
    fn release_rate(&self, mean_run_us: f64) -> f64 {
        let rate_per_target = if self.own_load > 0.0 {
            self.own_release_rate / self.own_load
        } else {
            1.0 / mean_run_us.max(1.0)
        };
        self.speed * rate_per_target
    }
}

/// Expected wait of a submission for room on targets where it ends in time after the longest wait allowed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedWait {
    pub wait_ms: Millis,
    pub max_wait_ms: Millis,
}

impl ExpectedWait {
    /// Whether the submission ends in time.
    pub fn is_in_time(self) -> bool {
        self.wait_ms <= self.max_wait_ms
    }

    pub const fn excess_ms(self) -> Millis {
        self.wait_ms.saturating_sub(self.max_wait_ms)
    }
}

/// How long a submission may wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitLimits {
    /// Limit that holds however fast the targets are.
    pub max_wait_ms: Millis,
    /// Limit of the wait and the run time together, if there is one.
    pub max_response_ms: Option<Millis>,
}

impl WaitLimits {
    fn max_wait_before(self, run_ms: Millis) -> Millis {
        let before_run = |max_ms: Millis| max_ms.saturating_sub(run_ms);
        let max_ms = self.max_response_ms.map(before_run);
        max_ms.map_or(self.max_wait_ms, |max_ms| max_ms.min(self.max_wait_ms))
    }
}

impl Entry {
    /// Expected time until all tasks of a submission have started.
    ///
    /// Slower targets allow a shorter wait. So the wait for the fastest ones is compared with what those allow, then
    /// that for them and the next slower ones, and so on; the result is the one with the most time to spare.
    ///
    /// Assumes that released capacity is divided among entries in proportion to their current load, and
    /// among groups by their shares. Free capacity is not divided among entries.
    pub(super) fn expected_wait(
        &self,
        now: Moment,
        config: &Config,
        submission: &Submission,
        limits: WaitLimits,
    ) -> ExpectedWait {
        let unlimited = ExpectedWait {
            wait_ms: Millis::default(),
            max_wait_ms: limits.max_wait_ms,
        };
        let Some(group) = config.group(&submission.group) else {
            return unlimited;
        };
        let by_speed = self.capacity_for(group, submission);
        let all = by_speed
            .values()
            .fold(Capacity::default(), |all, part| all.merged(*part));
        let declared_us = self.declared_run_us(submission);
        let backlog = self.backlog_before(now, config, submission, &all);
        let mut usable = Capacity::default();
        let mut best: Option<ExpectedWait> = None;
        for (class, part) in by_speed {
            usable = usable.merged(part);
            if usable.targets == 0.0 {
                continue;
            }
            let run_ms = millis_from_micros(declared_us * class.relative_run_time());
            let expected = ExpectedWait {
                wait_ms: self.wait_for(submission, backlog, &usable, &all),
                max_wait_ms: limits.max_wait_before(run_ms),
            };
            if expected.is_in_time() {
                return expected;
            }
            let is_better = |best: ExpectedWait| expected.excess_ms() <= best.excess_ms();
            if best.is_none_or(is_better) {
                best = Some(expected);
            }
        }
        best.unwrap_or(unlimited)
    }

    /// What is served before a submission.
    fn backlog_before(
        &self,
        now: Moment,
        config: &Config,
        submission: &Submission,
        all: &Capacity,
    ) -> Backlog {
        let lane = Lane {
            priority: submission.terms.priority,
            group: submission.group.clone(),
            service: submission.service.clone(),
            contained: submission
                .queue
                .clone()
                .filter(|queue| self.containment.contains_queue(queue)),
        };
        let tasks = saturating_count(submission.tasks.len());
        let rank = rank(&config.rules.placement, now, tasks);
        let placed_fraction = if all.queued > 0.0 {
            self.group_fraction_of_placed(&submission.group)
        } else {
            None
        };
        Backlog {
            queued_tasks: self.queued_ahead(config, &lane, rank),
            placed_fraction,
        }
    }

    /// Expected wait for room on the `usable` ones of all targets of a submission.
    fn wait_for(
        &self,
        submission: &Submission,
        backlog: Backlog,
        usable: &Capacity,
        all: &Capacity,
    ) -> Millis {
        let task_load = usable.mean_task_load();
        let tasks = saturating_count(submission.tasks.len());
        let ahead = f64::from(backlog.queued_tasks) * task_load;
        let needed = ahead + f64::from(tasks) * task_load;
        let entry_fraction = self.entry_fraction(usable, needed);
        let group_share = self.shares.fair_fraction(&submission.group);
        let entitled_fraction = all.entitled_fraction(group_share);
        let queued_of_group = usable.queued * backlog.placed_fraction.unwrap_or(group_share);
        let shortage = queued_of_group - usable.free * entitled_fraction;
        // What is short is worked off by all entries; what is left over goes to whoever asks first.
        let missing = needed
            + if shortage > 0.0 {
                shortage * entry_fraction
            } else {
                shortage
            };
        if missing <= 0.0 {
            return Millis::default();
        }
        let expected_rate = usable.release_rate(self.totals.mean_run_us()) * entry_fraction;
        let measured_rate = self.throughput.rate(submission.terms.priority);
        let usable_fraction = usable.speed / all.speed.max(f64::MIN_POSITIVE);
        let measured_rate = measured_rate.map(|rate| rate * usable_fraction);
        let rate = measured_rate.unwrap_or(expected_rate).min(expected_rate) * entitled_fraction;
        millis_from_micros(missing / rate.max(f64::MIN_POSITIVE))
    }

    /// Run time on a typical target by the declared one; zero if none is declared.
    fn declared_run_us(&self, submission: &Submission) -> f64 {
        if submission.terms.declared_ms == Millis::default() {
            return 0.0;
        }
        let queue = submission.queue.as_ref();
        self.typical_run_us(queue, &submission.service, &submission.terms)
    }

    /// Fraction of the released capacity that this entry gets: its fraction of the load including what it
    /// needs, but at least an equal part among all entries.
    fn entry_fraction(&self, capacity: &Capacity, needed: f64) -> f64 {
        let others = (capacity.running + capacity.queued - capacity.own_load).max(0.0);
        self.part_of_released(capacity.own_load + needed, others)
    }

    /// Fraction of the released capacity that this entry gets, by its load and that of the other entries.
    pub(super) fn part_of_released(&self, own: f64, others: f64) -> f64 {
        let load_fraction = own / (own + others).max(f64::MIN_POSITIVE);
        let entries = u32::try_from(self.known_entries.len())
            .unwrap_or(u32::MAX)
            .max(1);
        load_fraction.max(1.0 / f64::from(entries)).min(1.0)
    }

    /// Fraction of this entry's placed tasks that belong to a group; `None` if no tasks are placed.
    ///
    /// Agents order tasks by shares too, so those of other groups that are queued there are not ahead of
    /// the group's tasks.
    fn group_fraction_of_placed(&self, group: &GroupId) -> Option<f64> {
        let (mut all_placed, mut group_placed) = (0, 0);
        for job in self.jobs.values() {
            let placed = job
                .unfinished
                .saturating_sub(saturating_count(job.pending.len()));
            all_placed += placed;
            group_placed += if job.group == *group { placed } else { 0 };
        }
        (all_placed > 0).then(|| f64::from(group_placed) / f64::from(all_placed))
    }

    /// Capacity for a submission by the relative run time of its tasks on the targets, shortest first.
    fn capacity_for(
        &self,
        group: &Group,
        submission: &Submission,
    ) -> BTreeMap<SpeedClass, Capacity> {
        let mut by_speed = BTreeMap::<SpeedClass, Capacity>::new();
        for (agent, view) in &self.agents {
            let Some(offer) = view.offer() else { continue };
            if !self.containment.allows(submission.queue.as_ref(), agent)
                || !view.offers(&submission.service)
            {
                continue;
            }
            let class = view.speed_class;
            let far_factor = self.far_factor_on(&submission.terms, offer);
            let run_time = if far_factor > 1.0 {
                SpeedClass::of(class.relative_run_time() * far_factor)
            } else {
                class
            };
            let capacity = by_speed.entry(run_time).or_default();
            capacity.service_targets += 1.0;
            if may_use(group, &offer.target) {
                let task_load = offer.fraction_per_task(&submission.terms.demand);
                let left = self.returning.left(agent, view.outstanding_tasks());
                capacity.add(view, class, task_load, left);
            }
        }
        by_speed
    }

    /// Number of the tasks queued at this entry that are placed before a submission of this lane and rank.
    /// Only tasks of the same group count; the other groups are accounted for by their shares.
    fn queued_ahead(&self, config: &Config, lane: &Lane, limit: Rank) -> u32 {
        let is_ahead = |job: &&Job| {
            let rank = rank(&config.rules.placement, job.submitted_at, job.unfinished);
            let job_lane = job.lane();
            let by_priority = job_lane.priority.cmp(&lane.priority);
            job.group == lane.group
                && job_lane.contained == lane.contained
                && by_priority.then(rank.cmp(&limit)).is_le()
        };
        let pending = self.jobs.values().filter(|job| !job.pending.is_empty());
        let ahead = pending.filter(is_ahead);
        let tasks: usize = ahead.map(|job| job.pending.len()).sum();
        saturating_count(tasks)
    }
}

fn saturating_count(tasks: usize) -> u32 {
    u32::try_from(tasks).unwrap_or(u32::MAX)
}
