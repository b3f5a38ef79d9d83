//! How long a submission will take, as far as this entry knows.

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;

use super::Entry;
use super::Submission;
use super::admit::allows;
use super::job::expected_run_us;
use super::queue::Lane;
use crate::order::Rank;
use crate::order::rank;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// What the targets of a submission have to do; work is the time that it takes one whole target.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    targets: f64,
    /// Room that is free now, in whole targets.
    free: f64,
    /// Work of the open tasks that other entries have placed, in microseconds.
    others_us: f64,
    /// Work of the open tasks that this entry has placed, in microseconds.
    own_us: f64,
    /// Sum over the targets of the part that one task of the submission takes.
    parts: f64,
}

impl Work {
    /// Part of a target that one task takes, over all targets.
    fn mean_part(&self) -> f64 {
        self.parts / self.targets.max(1.0)
    }

    fn time_for(work_us: f64, targets: f64) -> Millis {
        millis(work_us / targets.max(f64::MIN_POSITIVE))
    }
}

/// Tasks of this entry that go before a submission.
#[derive(Debug, Clone, Copy, Default)]
struct Ahead {
    of_group_us: f64,
    of_all_us: f64,
    /// Tasks of all that are not placed yet.
    queued_load: f64,
}

impl Entry {
    /// Time until all tasks of a submission will have started; a bound if it is at most `enough`.
    pub(super) fn expected_wait(
        &self,
        now: Moment,
        config: &Config,
        submission: &Submission,
        enough: Millis,
    ) -> Millis {
        let Some(group) = config.group(&submission.group) else {
            return Millis::default();
        };
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let work = self.work_of(group, submission);
        let part = work.mean_part();
        let run_us = expected_run_us(&submission.terms, self.totals.mean_run_us());
        let added_us = f64::from(tasks) * part * run_us;
        let queued_us = f64::from(self.queue.tasks()) * part * self.totals.mean_run_us();
        let known_us = work.own_us + queued_us;
        let bound = Work::time_for(known_us + work.others_us + added_us, work.targets);
        if bound <= enough {
            return bound;
        }
        let lane = Lane {
            priority: submission.terms.priority,
            group: submission.group.clone(),
            service: submission.service.clone(),
        };
        let rank = rank(&config.rules.placement, now, tasks);
        let ahead = self.ahead_of(config, &lane, rank, part);
        if ahead.queued_load + f64::from(tasks) * part <= work.free {
            return Millis::default();
        }
        // Other entries see the same mix, so the same part of their tasks goes before. Few known
        // tasks tell little of it; adding a run for each target keeps the estimate low then.
        let known_us = known_us + work.targets * run_us;
        let part_of = |work_us: f64| (work_us / known_us.max(1.0)).min(1.0);
        let of_all_us = ahead.of_all_us + part_of(ahead.of_all_us) * work.others_us;
        let by_all = Work::time_for(of_all_us + added_us, work.targets);
        let own_targets = work.targets * self.shares.part_of(&submission.group);
        let others_us = work.others_us * part_of(ahead.of_group_us);
        let of_group_us = ahead.of_group_us + others_us + added_us;
        by_all.min(Work::time_for(of_group_us, own_targets))
    }

    fn work_of(&self, group: &Group, submission: &Submission) -> Work {
        let mut work = Work::default();
        let mean_us = self.totals.mean_run_us();
        for view in self.agents.values() {
            let Some(offer) = view.offer() else { continue };
            if view.offers(&submission.service) && allows(group, &offer.target) {
                work.targets += 1.0;
                work.free += (1.0 - view.load()).max(0.0);
                work.others_us += view.load_of_others() * mean_us;
                work.own_us += view.own_work_us();
                work.parts += offer.part_of(&submission.terms.demand);
            }
        }
        work
    }

    /// Tasks of submissions that go before one of this lane and rank.
    fn ahead_of(&self, config: &Config, lane: &Lane, limit: Rank, part: f64) -> Ahead {
        let mut ahead = Ahead::default();
        let mean_us = self.totals.mean_run_us();
        for job in self.jobs.values() {
            let rank = rank(&config.rules.placement, job.submitted_at, job.left);
            let place = job.lane().priority.cmp(&lane.priority);
            if place.then(rank.cmp(&limit)).is_gt() {
                continue;
            }
            let work_us = f64::from(job.left) * part * job.expected_run_us(mean_us);
            ahead.of_all_us += work_us;
            let pending = u32::try_from(job.pending.len()).unwrap_or(u32::MAX);
            ahead.queued_load += f64::from(pending) * part;
            if is_of(&job.group, lane) {
                ahead.of_group_us += work_us;
            }
        }
        ahead
    }
}

fn is_of(group: &GroupId, lane: &Lane) -> bool {
    *group == lane.group
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of milliseconds; a larger one saturates"
)]
fn millis(us: f64) -> Millis {
    Millis::new((us / MICROS_PER_MILLI) as u64)
}
