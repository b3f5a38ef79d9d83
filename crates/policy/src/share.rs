//! Weighted fair queueing over groups by measured busy time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;

/// Busy time of each group divided by its share.
///
/// The group with the least goes first. A group that was idle starts at the least of the active
/// ones, so that it neither saves up its share nor pays for what it used long ago.
#[derive(Debug, Clone, Default)]
pub struct ShareLedger {
    shares: BTreeMap<GroupId, f64>,
    used: BTreeMap<GroupId, f64>,
    active: BTreeSet<GroupId>,
}

const DEFAULT_SHARE: f64 = 1.0;

impl ShareLedger {
    /// Replaces the shares; a group without one has share 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (GroupId, f64)>) {
        self.shares = shares.into_iter().collect();
    }

    /// Marks a group as one that has work.
    pub fn activate(&mut self, group: &GroupId) {
        if self.active.contains(group) {
            return;
        }
        let floor = self
            .active
            .iter()
            .map(|g| self.normalized_usage(g))
            .reduce(f64::min);
        if let Some(floor) = floor {
            let used = self.normalized_usage(group).max(floor);
            self.used.insert(group.clone(), used);
        }
        self.active.insert(group.clone());
    }

    /// Marks a group as one that has no work.
    pub fn deactivate(&mut self, group: &GroupId) {
        self.active.remove(group);
    }

    /// Charges busy time; a negative amount gives back an estimate that was too high.
    pub fn charge(&mut self, group: &GroupId, busy_us: f64) {
        let share = self.share_of(group);
        *self.used.entry(group.clone()).or_default() += busy_us / share;
    }

    /// Part of the capacity that is owed to a group while it and the active ones have work.
    #[must_use]
    pub fn fair_fraction(&self, group: &GroupId) -> f64 {
        let others = self.active.iter().filter(|active| *active != group);
        let others: f64 = others.map(|active| self.share_of(active)).sum();
        let own = self.share_of(group);
        own / (own + others)
    }

    fn share_of(&self, group: &GroupId) -> f64 {
        self.shares.get(group).copied().unwrap_or(DEFAULT_SHARE)
    }

    /// Busy microseconds per unit of share.
    #[must_use]
    pub fn normalized_usage(&self, group: &GroupId) -> f64 {
        self.used.get(group).copied().unwrap_or_default()
    }
}
