//! Which entries an agent keeps sessions with.

use std::hash::Hash;
use std::hash::Hasher;

use dfs_ids::AgentId;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use seahash::SeaHasher;

/// An entry that an agent may dial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The entry.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// Picks at most `most` entries by rendezvous hashing, those of the own failure domain first.
///
/// When an entry joins or leaves, an agent changes at most one of its sessions.
#[must_use]
pub fn select_entries(
    agent: &AgentId,
    domain: &FailureDomain,
    candidates: &[Candidate],
    most: usize,
) -> Vec<EntryId> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|c| {
            (
                c.domain != *domain,
                u64::MAX - hash_pair(agent, &c.entry),
                &c.entry,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(most)
        .map(|(_, _, entry)| entry.clone())
        .collect()
}

/// Weight of an entry in the choice of an agent.
pub(crate) fn hash_pair(agent: &impl Hash, entry: &impl Hash) -> u64 {
    let mut hasher = SeaHasher::new();
    agent.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}
