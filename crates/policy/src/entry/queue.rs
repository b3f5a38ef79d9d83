//! Queue of submissions with tasks to place, split by priority, group and service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use dfs_ids::GroupId;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;

use crate::order::Rank;

/// All queued submissions of an entry. Tasks are counted separately by [`Queue::add_tasks`] and
/// [`Queue::remove_tasks`].
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Submissions of each lane, lowest rank first; no lane is empty.
    lanes: BTreeMap<Lane, BTreeSet<(Rank, SubmissionId)>>,
    ranks: BTreeMap<SubmissionId, Rank>,
    tasks_by_group: BTreeMap<GroupId, u32>,
    task_count: u32,
}

/// Key of a subqueue: submissions of one priority and group for one service, without those of contained queues.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    pub priority: Priority,
    pub group: GroupId,
    pub service: ServiceName,
    /// Queue of the submissions if it is contained; they must not hold up those that may use other targets.
    pub contained: Option<QueueName>,
}

impl Queue {
    /// Inserts a submission, or updates the rank of one that is in the lane already.
    pub fn insert(&mut self, lane: Lane, submission: &SubmissionId, rank: Rank) {
        self.remove(&lane, submission);
        self.ranks.insert(submission.clone(), rank);
        self.lanes
            .entry(lane)
            .or_default()
            .insert((rank, submission.clone()));
    }

    /// Removes a submission if it is queued; `lane` must be the one into which it was inserted.
    pub fn remove(&mut self, lane: &Lane, submission: &SubmissionId) {
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

    /// Submissions of a lane, lowest rank first, beginning with `first` if it is given.
    pub fn submissions(
        &self,
        lane: &Lane,
        first: Option<&(Rank, SubmissionId)>,
    ) -> impl Iterator<Item = &(Rank, SubmissionId)> {
        let lower = first.map_or(Bound::Unbounded, Bound::Included);
        let queued = self.lanes.get(lane).into_iter();
        queued.flat_map(move |queued| queued.range((lower, Bound::Unbounded)))
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

    /// Submissions of a lane, highest rank first.
    pub fn iter_rev(&self, lane: &Lane) -> impl Iterator<Item = &SubmissionId> {
        let queued = self.lanes.get(lane).into_iter().flatten();
        queued.rev().map(|(_, submission)| submission)
    }

    pub fn has_group(&self, group: &GroupId) -> bool {
        self.lanes.keys().any(|lane| lane.group == *group)
    }

    pub fn add_tasks(&mut self, group: &GroupId, added: u32) {
        self.task_count += added;
        *self.tasks_by_group.entry(group.clone()).or_default() += added;
    }

    pub fn remove_tasks(&mut self, group: &GroupId, removed: u32) {
        self.task_count -= removed;
        if let Some(tasks) = self.tasks_by_group.get_mut(group) {
            *tasks -= removed;
        }
    }

    /// Number of tasks to place, over all groups.
    pub fn task_count(&self) -> u32 {
        self.task_count
    }

    /// Number of tasks of one group to place.
    pub fn group_task_count(&self, group: &GroupId) -> u32 {
        self.tasks_by_group.get(group).copied().unwrap_or_default()
    }
}
