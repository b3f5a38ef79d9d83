//! Budget of further attempts.

use std::collections::BTreeMap;

use dfs_conf::RetryRules;
use dfs_ids::GroupId;

/// Tokens that a group earns with first attempts and spends on further ones.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: BTreeMap<GroupId, f64>,
}

const ONE_ATTEMPT: f64 = 1.0;

impl RetryBudget {
    /// Credits a first attempt.
    pub fn deposit(&mut self, rules: &RetryRules, group: &GroupId) {
        let burst = f64::from(rules.budget_burst);
        let tokens = self.tokens.entry(group.clone()).or_insert(burst);
        *tokens = (*tokens + rules.budget_ratio).min(burst);
    }

    /// Takes one further attempt from the budget, if there is one.
    pub fn try_withdraw(&mut self, rules: &RetryRules, group: &GroupId) -> bool {
        let burst = f64::from(rules.budget_burst);
        let tokens = self.tokens.entry(group.clone()).or_insert(burst);
        if *tokens < ONE_ATTEMPT {
            return false;
        }
        *tokens -= ONE_ATTEMPT;
        true
    }
}
