//! Evacuation of failure domains, as read from the source of the configuration.

use dfs_ids::FailureDomain;
use dfs_ids::Revision;
use dfs_wire::session::Evacuations;

/// What one read of the source shows of the evacuated domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All evacuated domains.
    Full(Evacuations),
    /// The changes between two revisions.
    Changes {
        /// Revision after which the changes were read.
        after: Revision,
        /// Revision up to which they were read.
        revision: Revision,
        /// Changes in their order; the last one of a domain counts, so those that the set held has may come again.
        changes: Vec<EvacuationChange>,
    },
}

/// A request to evacuate a failure domain, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether the domain is evacuated from this change on.
    pub is_evacuated: bool,
}

impl EvacuationUpdate {
    /// Whether the set held has every request that the source had confirmed when the read was sent, once the update
    /// is applied. An update that is older than the set held, or that leaves changes out, shows nothing.
    #[must_use]
    pub fn confirms(&self, held: &Evacuations) -> bool {
        match self {
            Self::Full(evacuations) => evacuations.revision >= held.revision,
            Self::Changes {
                after, revision, ..
            } => (*after..=*revision).contains(&held.revision),
        }
    }

    /// The set that follows from the update and the one held; `None` if the update is older than that, or if changes
    /// are missing between the two.
    #[must_use]
    pub fn apply_to(self, held: &Evacuations) -> Option<Evacuations> {
        match self {
            Self::Full(evacuations) => {
                (evacuations.revision > held.revision).then_some(evacuations)
            }
            Self::Changes {
                after,
                revision,
                changes,
            } => {
                if after > held.revision || revision <= held.revision {
                    return None;
                }
                let mut domains = held.domains.clone();
                for change in changes {
                    if change.is_evacuated {
                        domains.insert(change.domain);
                    } else {
                        domains.remove(&change.domain);
                    }
                }
                Some(Evacuations { revision, domains })
            }
        }
    }
}
