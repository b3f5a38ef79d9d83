//! Accepted tasks that wait for a slot, by group, rank and start-by time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;
use dfs_ids::Moment;
use dfs_wire::session::TaskRef;

use super::record::Record;
use crate::order::Rank;

/// Exactly the records in [`super::record::Stage::Queued`].
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// No group is empty.
    by_group: BTreeMap<GroupId, BTreeSet<(Rank, TaskRef)>>,
    by_start: BTreeSet<(Moment, TaskRef)>,
}

impl Queue {
    pub fn insert(&mut self, task: &TaskRef, record: &Record) {
        self.by_group
            .entry(record.group.clone())
            .or_default()
            .insert((record.rank, task.clone()));
        self.by_start.insert((record.start_by, task.clone()));
    }

    /// Removes a task; true if it was the last of its group.
    pub fn remove(&mut self, task: &TaskRef, record: &Record) -> bool {
        self.by_start.remove(&(record.start_by, task.clone()));
        let Some(tasks) = self.by_group.get_mut(&record.group) else {
            return false;
        };
        tasks.remove(&(record.rank, task.clone()));
        let was_last = tasks.is_empty();
        if was_last {
            self.by_group.remove(&record.group);
        }
        was_last
    }

    pub fn len(&self) -> u32 {
        u32::try_from(self.by_start.len()).unwrap_or(u32::MAX)
    }

    /// Groups with their tasks, the lowest rank first.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, impl Iterator<Item = &TaskRef>)> {
        self.by_group
            .iter()
            .map(|(group, tasks)| (group, tasks.iter().map(|(_, task)| task)))
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
