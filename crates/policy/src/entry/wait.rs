//! How long a submission will wait, as far as this entry knows.

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;

use super::Entry;
use super::Submission;
use super::admit::allows;
use super::job::Job;
use super::job::millis;
use super::queue::Lane;
use super::view::AgentView;
use crate::order::Rank;
use crate::order::rank;

/// The targets of a submission; loads are parts of one whole target.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    targets: f64,
    /// All targets of the service, also those that the group may not use.
    of_service: f64,
    /// What is free now.
    free: f64,
    /// What runs now.
    running: f64,
    /// What waits at the agents.
    waiting: f64,
    /// Load that this entry has placed.
    own: f64,
    /// Load that comes free for each microsecond through the ends of this entry's tasks.
    own_rate: f64,
    /// Sum over the targets of the part that one task of the submission takes.
    parts: f64,
}

impl Room {
    fn add(&mut self, view: &AgentView, part: f64) {
        let load = view.load();
        self.targets += 1.0;
        self.free += (1.0 - load).max(0.0);
        self.running += load.min(1.0);
        self.waiting += (load - 1.0).max(0.0);
        self.own += view.own_load;
        self.own_rate += view.own_rate();
        self.parts += part;
    }

    /// Part of a target that one task takes, over all targets.
    fn mean_part(&self) -> f64 {
        self.parts / self.targets.max(1.0)
    }

    /// Part of the room that a group is owed: its part of all targets of the service, so that a group with
    /// few targets may be owed all of them.
    fn part_owed(&self, of_group: f64) -> f64 {
        (of_group * self.of_service / self.targets.max(1.0)).min(1.0)
    }

    /// Load that comes free for each microsecond through the ends of all tasks while all targets are
    /// full, as they are while anything waits.
    fn rate(&self, mean_run_us: f64) -> f64 {
        let each = if self.own > 0.0 {
            self.own_rate / self.own
        } else {
            1.0 / mean_run_us.max(1.0)
        };
        self.targets * each
    }
}

impl Entry {
    /// Time until all tasks of a submission will have started.
    ///
    /// Room that comes free is shared with the other entries as the load is now, and by shares with the
    /// other groups.
    pub(super) fn expected_wait(
        &self,
        now: Moment,
        config: &Config,
        submission: &Submission,
    ) -> Millis {
        let Some(group) = config.group(&submission.group) else {
            return Millis::default();
        };
        let room = self.room_of(group, submission);
        let part = room.mean_part();
        let tasks = count(submission.tasks.len());
        let lane = Lane {
            priority: submission.terms.priority,
            group: submission.group.clone(),
            service: submission.service.clone(),
        };
        let rank = rank(&config.rules.placement, now, tasks);
        let ahead = self.queued_ahead(config, &lane, rank, part);
        let needed = ahead + f64::from(tasks) * part;
        let of_entry = self.part_of_room(&room, needed);
        let of_group = self.shares.fair_fraction(&submission.group);
        let owed = room.part_owed(of_group);
        let waiting = if room.waiting > 0.0 {
            room.waiting * self.part_of_placed(&submission.group).unwrap_or(of_group)
        } else {
            0.0
        };
        let missing = needed + (waiting - room.free * owed) * of_entry;
        if missing <= 0.0 {
            return Millis::default();
        }
        let expected = room.rate(self.totals.mean_run_us()) * of_entry;
        let measured = self.throughput.rate(submission.terms.priority);
        let rate = measured.unwrap_or(expected).min(expected) * owed;
        millis(missing / rate.max(f64::MIN_POSITIVE))
    }

    /// Part of the room that comes free which this entry gets: its part of the load with what it needs,
    /// but not less than that of one entry among all.
    fn part_of_room(&self, room: &Room, needed: f64) -> f64 {
        let others = (room.running + room.waiting - room.own).max(0.0);
        let own = room.own + needed;
        let of_load = own / (own + others).max(f64::MIN_POSITIVE);
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX).max(1);
        of_load.max(1.0 / f64::from(entries)).min(1.0)
    }

    /// Part of the tasks that this entry has placed which is of one group; none if it has placed none.
    ///
    /// Agents order by shares, so what waits there of other groups is not ahead of the group's tasks.
    fn part_of_placed(&self, group: &GroupId) -> Option<f64> {
        let (mut of_all, mut of_group) = (0, 0);
        for job in self.jobs.values() {
            let placed = job.left.saturating_sub(count(job.pending.len()));
            of_all += placed;
            of_group += if job.group == *group { placed } else { 0 };
        }
        (of_all > 0).then(|| f64::from(of_group) / f64::from(of_all))
    }

    fn room_of(&self, group: &Group, submission: &Submission) -> Room {
        let mut room = Room::default();
        for view in self.agents.values() {
            let Some(offer) = view.offer() else { continue };
            if !view.offers(&submission.service) {
                continue;
            }
            room.of_service += 1.0;
            if allows(group, &offer.target) {
                room.add(view, offer.fraction_per_task(&submission.terms.demand));
            }
        }
        room
    }

    /// Load of the tasks queued here that go before a submission of this lane and rank; of groups that
    /// share the room only the own one counts.
    fn queued_ahead(&self, config: &Config, lane: &Lane, limit: Rank, part: f64) -> f64 {
        let goes_before = |job: &&Job| {
            let rank = rank(&config.rules.placement, job.submitted_at, job.left);
            let place = job.lane().priority.cmp(&lane.priority);
            job.group == lane.group && place.then(rank.cmp(&limit)).is_le()
        };
        let pending = self.jobs.values().filter(|job| !job.pending.is_empty());
        let ahead = pending.filter(goes_before);
        let tasks: usize = ahead.map(|job| job.pending.len()).sum();
        f64::from(count(tasks)) * part
    }
}

fn count(tasks: usize) -> u32 {
    u32::try_from(tasks).unwrap_or(u32::MAX)
}
