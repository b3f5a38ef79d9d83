//! The two documents of the configuration.

use derive_more::Display;
use dfs_conf::Inventory;
use dfs_conf::Rules;
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
    /// Every fault of a document: path, value and what is allowed.
    #[must_use]
    pub fn faults(self, value: &Value) -> Vec<String> {
        match self {
            Self::Inventory => shape_faults::<Inventory>(value),
            Self::Rules => shape_faults::<Rules>(value),
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

fn shape_faults<T: DeserializeOwned>(value: &Value) -> Vec<String> {
    let parsed: Result<T, _> = serde_path_to_error::deserialize(value);
    let fault = parsed.err();
    fault
        .map(|fault| format!("{}: {}", fault.path(), fault.inner()))
        .into_iter()
        .collect()
}
