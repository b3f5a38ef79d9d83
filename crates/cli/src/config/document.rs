//! The two documents of the configuration.

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

/// A document that operators load.
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
    /// Checks a document; what is allowed but hardly meant comes back as warnings.
    pub fn check(self, value: &Value) -> Result<Vec<Warning>, ValidationErrors> {
        match self {
            Self::Inventory => check_inventory(value).map(|inventory| inventory.warnings()),
            Self::Rules => check_rules(value).map(|_| Vec::new()),
        }
    }

    /// The document with every default written out, so that two spellings of it compare equal.
    #[must_use]
    pub fn normalized(self, value: Value) -> Value {
        match self {
            Self::Inventory => rewritten::<Inventory>(value),
            Self::Rules => rewritten::<Rules>(value),
        }
    }

    /// This document of a version of the configuration.
    #[must_use]
    pub fn of(self, config: ConfigAnswer) -> Value {
        match self {
            Self::Inventory => config.inventory,
            Self::Rules => config.rules,
        }
    }
}

/// The document as its type writes it, or unchanged if it does not fit the type.
fn rewritten<T: DeserializeOwned + Serialize>(value: Value) -> Value {
    let typed: Option<T> = serde_json::from_value(value.clone()).ok();
    typed
        .and_then(|typed| serde_json::to_value(typed).ok())
        .unwrap_or(value)
}
