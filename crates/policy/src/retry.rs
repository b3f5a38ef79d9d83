//! Retry budget: bounds retries to a fraction of the first attempts.

use std::collections::BTreeMap;

use dfs_conf::RetryRules;
use dfs_ids::GroupId;

/// Token buckets, one for each group: first attempts add tokens, each retry takes one. A new group
/// starts with a full bucket.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: BTreeMap<GroupId, f64>,
}

const TOKENS_PER_RETRY: f64 = 1.0;

impl RetryBudget {
    /// Adds `budget_ratio` tokens for a first attempt, up to `budget_burst`.
    pub fn deposit(&mut self, rules: &RetryRules, group: &GroupId) {
        let burst = f64::from(rules.budget_burst);
        let tokens = self.tokens.entry(group.clone()).or_insert(burst);
        *tokens = (*tokens + rules.budget_ratio).min(burst);
    }

    /// Takes the token of one retry; false if the group has none left.
    pub fn try_withdraw(&mut self, rules: &RetryRules, group: &GroupId) -> bool {
        let burst = f64::from(rules.budget_burst);
        let tokens = self.tokens.entry(group.clone()).or_insert(burst);
        if *tokens < TOKENS_PER_RETRY {
            return false;
        }
        *tokens -= TOKENS_PER_RETRY;
        true
    }
}
