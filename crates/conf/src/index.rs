//! Finds the owner of a bearer token.

use std::collections::HashMap;

use dfs_ids::GroupId;

use crate::Inventory;
use crate::TokenDigest;

/// Owner of a bearer token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// A group, which may submit work.
    Group(GroupId),
    /// An operator by name, who may change the configuration.
    Operator(String),
}

/// Index of all tokens of one version of the inventory.
///
/// The index is keyed by a prefix of the digest, which callers cannot choose, and the full digests
/// are compared in constant time, so that the time of a look-up does not help a caller to guess a
/// valid digest.
#[derive(Debug, Clone, Default)]
pub struct TokenIndex {
    by_prefix: HashMap<u64, Vec<(TokenDigest, Identity)>>,
}

impl TokenIndex {
    /// Indexes the tokens of all operators and groups.
    #[must_use]
    pub fn new(inventory: &Inventory) -> Self {
        let mut index = Self::default();
        for operator in &inventory.operators {
            let owner = Identity::Operator(operator.operator.clone());
            index.insert(operator.token_sha256, owner);
        }
        for group in &inventory.groups {
            for digest in &group.tokens_sha256 {
                index.insert(*digest, Identity::Group(group.group.clone()));
            }
        }
        index
    }

    /// The owner of a token, `None` if the inventory does not contain its digest.
    #[must_use]
    pub fn owner(&self, token: &str) -> Option<&Identity> {
        let digest = TokenDigest::of(token);
        let candidates = self.by_prefix.get(&digest.prefix())?;
        candidates
            .iter()
            .find(|(known, _)| known.matches(&digest))
            .map(|(_, owner)| owner)
    }

    fn insert(&mut self, digest: TokenDigest, owner: Identity) {
        let candidates = self.by_prefix.entry(digest.prefix()).or_default();
        candidates.push((digest, owner));
    }
}
