//! Bodies of `/v1/config`.

use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Body of `POST /v1/config`: replaces the inventory, the rules or both.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyConfig {
    /// Idempotency key of this change; a repeated one is answered like the first.
    pub change: ChangeId,
    /// Head version that the operator's change is based on.
    pub base: ConfigVersion,
    /// New inventory, or none to keep the one of the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inventory: Option<Value>,
    /// New rules, or none to keep those of the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Value>,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Version that the change became.
    pub version: ConfigVersion,
}

/// Answer to `GET /v1/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Version in force at the entry that answers.
    pub version: ConfigVersion,
    /// Its inventory.
    pub inventory: Value,
    /// Its rules.
    pub rules: Value,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ConfigError {
    /// Another change came first.
    Conflict {
        /// Version that won.
        winner: ConfigVersion,
        /// Change that won.
        winner_change: ChangeId,
    },
    /// The document is not valid.
    Invalid {
        /// Every fault found: path, value and what is allowed.
        faults: Vec<String>,
    },
    /// The table service did not answer; the change may have been accepted.
    StoreUnavailable {
        /// What was tried and what to do.
        message: String,
    },
    /// The token is not an operator's.
    Forbidden,
}
