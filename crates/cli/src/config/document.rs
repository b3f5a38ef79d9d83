//! The two documents of which the configuration consists.

use derive_more::Display;
use dfs_conf::Inventory;
use dfs_conf::Rules;
use dfs_conf::ValidationErrors;
use dfs_conf::Warning;
use dfs_conf::check_inventory;
use dfs_conf::check_rules;
use dfs_wire::api::ConfigAnswer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A document that operators edit and apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Document {
    /// Groups, services and targets.
    #[display("inventory")]
    Inventory,
    /// Limits and policies.
    #[display("rules")]
    Rules,
}

impl Document {
    /// Validates a document; returns warnings for what is allowed but probably a mistake.
    pub fn check(self, value: &Value) -> Result<Vec<Warning>, ValidationErrors> {
        match self {
            Self::Inventory => check_inventory(value).map(|inventory| inventory.warnings()),
            Self::Rules => check_rules(value).map(|_| Vec::new()),
        }
    }

    /// Returns the document with every default written out, so that documents which differ only in
    /// omitted defaults compare equal.
    #[must_use]
    pub fn normalized(self, value: Value) -> Value {
        match self {
            Self::Inventory => round_trip::<Inventory>(value),
            Self::Rules => round_trip::<Rules>(value),
        }
    }

    /// Takes this document out of the configuration that an entry returned.
    #[must_use]
    pub fn of(self, config: ConfigAnswer) -> Value {
        match self {
            Self::Inventory => config.inventory,
            Self::Rules => config.rules,
        }
    }
}

/// Deserializes and serializes the document; returns it unchanged if it does not fit the type.
fn round_trip<T: DeserializeOwned + Serialize>(value: Value) -> Value {
    let typed: Option<T> = serde_json::from_value(value.clone()).ok();
    typed
        .and_then(|typed| serde_json::to_value(typed).ok())
        .unwrap_or(value)
}
