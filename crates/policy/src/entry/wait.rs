//! How long a submission will take, as far as this entry knows.

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;

use super::Entry;
use super::Submission;
use super::admit::allows;
use crate::order::Rank;
use crate::order::rank;

/// What the targets of a submission have to do.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    slots: u32,
    /// Open tasks that other entries have placed.
    others: u32,
    /// Open tasks that this entry has placed.
    own: u32,
}

/// Tasks of this entry that go before a submission.
#[derive(Debug, Clone, Copy, Default)]
struct Ahead {
    of_group: u32,
    of_all: u32,
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
        let added = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let work = self.work_of(group, submission);
        let known = work.own + self.queue.tasks();
        let all = f64::from(known) + f64::from(work.others) + f64::from(added);
        let bound = self.totals.time_for(all, f64::from(work.slots));
        if bound <= enough {
            return bound;
        }
        let rank = rank(&config.rules.placement, now, added);
        let ahead = self.ahead_of(rank, &submission.group);
        // Other entries see the same mix, so the same part of their tasks goes before. Few known
        // tasks tell little of it; adding the slots keeps the estimate low then.
        let part_of = |tasks: u32| f64::from(tasks) / f64::from(known + work.slots.max(1));
        let of_all =
            f64::from(ahead.of_all) + part_of(ahead.of_all).min(1.0) * f64::from(work.others);
        let by_all = self
            .totals
            .time_for(of_all + f64::from(added), f64::from(work.slots));
        let own_slots = f64::from(work.slots) * self.shares.part_of(&submission.group);
        let others = f64::from(work.others) * part_of(ahead.of_group).min(1.0);
        let of_group = f64::from(ahead.of_group) + others + f64::from(added);
        by_all.min(self.totals.time_for(of_group, own_slots))
    }

    fn work_of(&self, group: &Group, submission: &Submission) -> Work {
        let mut work = Work::default();
        for view in self.agents.values() {
            let Some(offer) = view.offer() else { continue };
            if view.offers(&submission.service) && allows(group, &offer.target) {
                work.slots += offer.slots.get();
                work.others += view.open_of_others();
                work.own += view.open_tasks();
            }
        }
        work
    }

    fn ahead_of(&self, limit: Rank, group: &GroupId) -> Ahead {
        let mut ahead = Ahead::default();
        let Some(config) = &self.config else {
            return ahead;
        };
        for job in self.jobs.values() {
            if rank(&config.rules.placement, job.submitted_at, job.left) <= limit {
                ahead.of_all += job.left;
                ahead.of_group += if job.group == *group { job.left } else { 0 };
            }
        }
        ahead
    }
}
