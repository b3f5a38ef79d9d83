//! Request and response bodies of `/v1/config`.

use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Body of `POST /v1/config`: replaces the inventory, the rules or both.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyConfig {
    /// Idempotency key of the change; a repeated request with this key gets the response of the first.
    pub change: ChangeId,
    /// Head version on which the change is based.
    pub base: ConfigVersion,
    /// New inventory; absent to keep that of the base version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inventory: Option<Value>,
    /// New rules; absent to keep those of the base version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Value>,
}

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Configuration version created by the change.
    pub version: ConfigVersion,
}

/// Response to `GET /v1/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Version active at the entry that responds.
    pub version: ConfigVersion,
    /// Inventory of that version.
    pub inventory: Value,
    /// Rules of that version.
    pub rules: Value,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ConfigError {
    /// Another change based on the same version was accepted first.
    Conflict {
        /// Version created by that other change.
        winner: ConfigVersion,
        /// Idempotency key of that other change.
        winner_change: ChangeId,
    },
    /// The inventory or the rules are not valid.
    Invalid {
        /// All errors found, each with the path, the value and the allowed values.
        faults: Vec<String>,
    },
    /// The table service did not respond; the change may have been accepted nevertheless.
    StoreUnavailable {
        /// Human-readable message: what was attempted and how to proceed.
        message: String,
    },
    /// The token does not belong to an operator.
    Forbidden,
}
