//! Accepted tasks that wait for room, by priority, group, rank and start-by time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Resources;

use super::record::Record;
use crate::order::Rank;

/// Exactly the records in [`super::record::Stage::Queued`].
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// No lane is empty.
    lanes: BTreeMap<Lane, BTreeSet<(Rank, TaskRef)>>,
    /// What the queued tasks will take together.
    demand: Resources,
    by_start: BTreeSet<(Moment, TaskRef)>,
}

/// Tasks of one priority and group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    pub priority: Priority,
    pub group: GroupId,
}

impl Lane {
    fn of(record: &Record) -> Self {
        Self {
            priority: record.terms.priority,
            group: record.group.clone(),
        }
    }
}

impl Queue {
    pub fn insert(&mut self, task: &TaskRef, record: &Record) {
        self.demand = self.demand.saturating_add(&record.terms.demand);
        self.lanes
            .entry(Lane::of(record))
            .or_default()
            .insert((record.rank, task.clone()));
        self.by_start.insert((record.start_by, task.clone()));
    }

    /// Removes a task; true if it was the last of its group.
    pub fn remove(&mut self, task: &TaskRef, record: &Record) -> bool {
        if self.by_start.remove(&(record.start_by, task.clone())) {
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
        u32::try_from(self.by_start.len()).unwrap_or(u32::MAX)
    }

    /// Lanes with their tasks, the lowest rank first.
    pub fn lanes(&self) -> impl Iterator<Item = (&Lane, impl Iterator<Item = &TaskRef>)> {
        self.lanes
            .iter()
            .map(|(lane, tasks)| (lane, tasks.iter().map(|(_, task)| task)))
    }

    /// What the queued tasks will take together.
    pub const fn demand(&self) -> &Resources {
        &self.demand
    }

    pub fn tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.by_start.iter().map(|(_, task)| task)
    }

    /// Tasks whose time to start has passed.
    pub fn expired(&self, now: Moment) -> Vec<TaskRef> {
        let late = self.by_start.iter().take_while(|(at, _)| *at <= now);
        late.map(|(_, task)| task.clone()).collect()
    }
}
