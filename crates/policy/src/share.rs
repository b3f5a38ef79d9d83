//! Weighted fair queueing of groups by measured busy time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::GroupId;

/// Normalized usage of each group: its busy time divided by its share.
///
/// The group with the lowest normalized usage goes first. A group that becomes active is raised to the
/// lowest usage among the active groups, so that it cannot save up its share while it is idle; usage
/// above that is kept.
#[derive(Debug, Clone, Default)]
pub struct ShareLedger {
    shares: BTreeMap<GroupId, f64>,
    /// Microseconds of busy time per unit of share.
    usage: BTreeMap<GroupId, f64>,
    active: BTreeSet<GroupId>,
}

const DEFAULT_SHARE: f64 = 1.0;

impl ShareLedger {
    /// Replaces all shares; a group that is not listed has a share of 1. Usage is not rescaled.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (GroupId, f64)>) {
        self.shares = shares.into_iter().collect();
    }

    /// Marks a group as having queued tasks.
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
            let usage = self.normalized_usage(group).max(floor);
            self.usage.insert(group.clone(), usage);
        }
        self.active.insert(group.clone());
    }

    /// Marks a group as having no queued tasks.
    pub fn deactivate(&mut self, group: &GroupId) {
        self.active.remove(group);
    }

    /// Adds busy time in microseconds; a negative amount refunds an estimate that was too high.
    pub fn charge(&mut self, group: &GroupId, busy_us: f64) {
        let share = self.share_of(group);
        *self.usage.entry(group.clone()).or_default() += busy_us / share;
    }

    /// Fraction of the capacity that a group is entitled to while it and all active groups have work.
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

    /// Microseconds of busy time per unit of share; 0 for a group that was never charged.
    #[must_use]
    pub fn normalized_usage(&self, group: &GroupId) -> f64 {
        self.usage.get(group).copied().unwrap_or_default()
    }
}
