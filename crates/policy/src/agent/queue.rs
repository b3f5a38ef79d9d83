//! Accepted tasks that have not started, indexed by priority, group and rank and by start deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Resources;

use super::record::TaskRecord;
use crate::order::Rank;

/// Index of the records in [`super::record::Stage::Queued`]; must contain exactly these.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Never contains an empty set.
    lanes: BTreeMap<Lane, BTreeSet<(Rank, TaskRef)>>,
    /// Total demand of the queued tasks.
    demand: Resources,
    by_start_deadline: BTreeSet<(Moment, TaskRef)>,
}

/// Key of a subqueue: tasks of one priority and group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    pub priority: Priority,
    pub group: GroupId,
}

impl Lane {
    fn of(record: &TaskRecord) -> Self {
        Self {
            priority: record.terms.priority,
            group: record.group.clone(),
        }
    }
}

impl Queue {
    pub fn insert(&mut self, task: &TaskRef, record: &TaskRecord) {
        self.demand = self.demand.saturating_add(&record.terms.demand);
        self.lanes
            .entry(Lane::of(record))
            .or_default()
            .insert((record.rank, task.clone()));
        self.by_start_deadline
            .insert((record.start_by, task.clone()));
    }

    /// Removes a task and returns whether it was the last one of its group.
    pub fn remove(&mut self, task: &TaskRef, record: &TaskRecord) -> bool {
        if self
            .by_start_deadline
            .remove(&(record.start_by, task.clone()))
        {
            self.demand = self.demand.saturating_sub(&record.terms.demand);
        }
        let lane = Lane::of(record);
        let Some(tasks) = self.lanes.get_mut(&lane) else {
            return false;
        };
        tasks.remove(&(record.rank, task.clone()));
        if !tasks.is_empty() {
            return false;
        }
        self.lanes.remove(&lane);
        !self.lanes.keys().any(|other| other.group == lane.group)
    }

    pub fn len(&self) -> u32 {
        u32::try_from(self.by_start_deadline.len()).unwrap_or(u32::MAX)
    }

    /// Tasks of each priority and group, by ascending rank.
    pub fn lanes(&self) -> impl Iterator<Item = (&Lane, impl Iterator<Item = &TaskRef>)> {
        self.lanes
            .iter()
            .map(|(lane, tasks)| (lane, tasks.iter().map(|(_, task)| task)))
    }

    pub const fn demand(&self) -> &Resources {
        &self.demand
    }

    pub fn tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.by_start_deadline.iter().map(|(_, task)| task)
    }

    /// Tasks whose start deadline has passed.
    pub fn expired(&self, now: Moment) -> Vec<TaskRef> {
        let expired = self
            .by_start_deadline
            .iter()
            .take_while(|(at, _)| *at <= now);
        expired.map(|(_, task)| task.clone()).collect()
    }
}
