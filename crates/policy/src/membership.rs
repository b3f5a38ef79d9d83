//! Selection of the entries that an agent keeps sessions with.

use std::hash::Hash;
use std::hash::Hasher;

use dfs_ids::AgentId;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use seahash::SeaHasher;

/// An entry that an agent may dial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the entry, hashed together with that of the agent.
    pub entry: EntryId,
    /// Failure domain that the entry runs in.
    pub domain: FailureDomain,
}

/// Selects at most `limit` entries by rendezvous hashing, those in the agent's own failure domain first.
///
/// When an entry joins or leaves, at most one entry of the selection changes.
#[must_use]
pub fn select_entries(
    agent: &AgentId,
    domain: &FailureDomain,
    candidates: &[Candidate],
    limit: usize,
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
        .take(limit)
        .map(|(_, _, entry)| entry.clone())
        .collect()
}

/// Unseeded hash of a pair, the same in every process.
pub(crate) fn hash_pair(first: &impl Hash, second: &impl Hash) -> u64 {
    let mut hasher = SeaHasher::new();
    first.hash(&mut hasher);
    second.hash(&mut hasher);
    hasher.finish()
}
