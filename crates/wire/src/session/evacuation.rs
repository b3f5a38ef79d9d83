//! Evacuation of failure domains.

use std::collections::BTreeSet;

use dfs_ids::FailureDomain;
use dfs_ids::Revision;
use serde::Deserialize;
use serde::Serialize;

/// All failure domains whose targets must start no task, as of one revision of the table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision as of which the set is complete; of two sets, the one with the higher revision is valid.
    pub revision: Revision,
    /// The evacuated domains.
    pub domains: BTreeSet<FailureDomain>,
}

impl Evacuations {
    /// Whether the targets of a failure domain must start no task.
    #[must_use]
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.domains.contains(domain)
    }

    /// Whether a process that last showed `peer` must be sent this set: it differs, and is newer.
    ///
    /// A process that has shown nothing counts as one with the empty set, so that no deployment without evacuations
    /// sends any.
    #[must_use]
    pub fn supersedes(&self, peer: &Self) -> bool {
        self.revision > peer.revision && self.domains != peer.domains
    }

    /// Replaces this set if the other is of a higher revision; returns whether the domains have changed.
    pub fn adopt(&mut self, other: Self) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let has_changed = self.domains != other.domains;
        *self = other;
        has_changed
    }
}
