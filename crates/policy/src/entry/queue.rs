//! Submissions with tasks to place, by service, group and rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;
use dfs_ids::Priority;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;

use crate::order::Rank;

/// All queued submissions of an entry.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: BTreeMap<Lane, BTreeSet<(Rank, SubmissionId)>>,
    ranks: BTreeMap<SubmissionId, Rank>,
    tasks_by_group: BTreeMap<GroupId, u32>,
    tasks: u32,
}

/// Submissions of one priority and group for one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    pub priority: Priority,
    pub group: GroupId,
    pub service: ServiceName,
}

impl Queue {
    /// Inserts a submission or changes its rank.
    pub fn put(&mut self, lane: Lane, submission: &SubmissionId, rank: Rank) {
        self.take(&lane, submission);
        self.ranks.insert(submission.clone(), rank);
        self.lanes
            .entry(lane)
            .or_default()
            .insert((rank, submission.clone()));
    }

    /// Removes a submission that has nothing left to place.
    pub fn take(&mut self, lane: &Lane, submission: &SubmissionId) {
        let Some(rank) = self.ranks.remove(submission) else {
            return;
        };
        if let Some(queued) = self.lanes.get_mut(lane) {
            queued.remove(&(rank, submission.clone()));
            if queued.is_empty() {
                self.lanes.remove(lane);
            }
        }
    }

    pub fn contains(&self, submission: &SubmissionId) -> bool {
        self.ranks.contains_key(submission)
    }

    pub fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.keys()
    }

    pub fn first(&self, lane: &Lane) -> Option<&SubmissionId> {
        self.lanes
            .get(lane)?
            .first()
            .map(|(_, submission)| submission)
    }

    /// Submissions of a lane, the last in order first.
    pub fn last_first(&self, lane: &Lane) -> impl Iterator<Item = &SubmissionId> {
        let queued = self.lanes.get(lane).into_iter().flatten();
        queued.rev().map(|(_, submission)| submission)
    }

    pub fn group_is_queued(&self, group: &GroupId) -> bool {
        self.lanes.keys().any(|lane| lane.group == *group)
    }

    pub fn count(&mut self, group: &GroupId, added: u32) {
        self.tasks += added;
        *self.tasks_by_group.entry(group.clone()).or_default() += added;
    }

    pub fn uncount(&mut self, group: &GroupId, removed: u32) {
        self.tasks -= removed;
        if let Some(tasks) = self.tasks_by_group.get_mut(group) {
            *tasks -= removed;
        }
    }

    /// Tasks to place, of all groups.
    pub fn tasks(&self) -> u32 {
        self.tasks
    }

    /// Tasks to place of one group.
    pub fn tasks_of(&self, group: &GroupId) -> u32 {
        self.tasks_by_group.get(group).copied().unwrap_or_default()
    }
}
