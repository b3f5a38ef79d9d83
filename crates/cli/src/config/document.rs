//! The two documents of the configuration.

use derive_more::Display;
use dfs_conf::Inventory;
use dfs_conf::Rules;
use dfs_wire::api::ConfigAnswer;
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
    /// Every fault of a document: path, value and what is allowed.
    #[must_use]
    pub fn faults(self, value: &Value) -> Vec<String> {
        match self {
            Self::Inventory => shape_faults::<Inventory>(value),
            Self::Rules => shape_faults::<Rules>(value),
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

fn shape_faults<T: DeserializeOwned>(value: &Value) -> Vec<String> {
    let parsed: Result<T, _> = serde_path_to_error::deserialize(value);
    let fault = parsed.err();
    fault
        .map(|fault| format!("{}: {}", fault.path(), fault.inner()))
        .into_iter()
        .collect()
}
