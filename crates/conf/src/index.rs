//! Who a bearer token belongs to.

use std::collections::HashMap;

use dfs_ids::GroupId;

use crate::Inventory;
use crate::TokenDigest;

/// Owner of a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// A group, which may submit work.
    Group(GroupId),
    /// An operator, who may change the configuration.
    Operator(String),
}

/// All tokens of one version of the inventory.
///
/// Entries are found by a part of the digest, which a caller cannot choose, and then compared whole
/// in constant time.
#[derive(Debug, Clone, Default)]
pub struct TokenIndex {
    owners: HashMap<u64, Vec<(TokenDigest, Identity)>>,
}

impl TokenIndex {
    /// Indexes all groups and operators.
    #[must_use]
    pub fn new(inventory: &Inventory) -> Self {
        let mut index = Self::default();
        for operator in &inventory.operators {
            let owner = Identity::Operator(operator.operator.clone());
            index.add(operator.token_sha256, owner);
        }
        for group in &inventory.groups {
            for digest in &group.tokens_sha256 {
                index.add(*digest, Identity::Group(group.group.clone()));
            }
        }
        index
    }

    /// The owner of a token.
    #[must_use]
    pub fn owner(&self, token: &str) -> Option<&Identity> {
        let digest = TokenDigest::of(token);
        let candidates = self.owners.get(&digest.prefix())?;
        candidates
            .iter()
            .find(|(known, _)| known.matches(&digest))
            .map(|(_, owner)| owner)
    }

    fn add(&mut self, digest: TokenDigest, owner: Identity) {
        let candidates = self.owners.entry(digest.prefix()).or_default();
        candidates.push((digest, owner));
    }
}
