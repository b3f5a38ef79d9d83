//! What every task of a submission needs, and how urgent it is.

use dfs_ids::Millis;
use dfs_ids::Priority;
use serde::Deserialize;
use serde::Serialize;

use crate::target::Resources;

/// Terms of a submission, the same at its entry and at the agents of its tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// What one task takes of its target; nothing: one slot.
    #[serde(skip_serializing_if = "is_default")]
    pub demand: Resources,
    /// Submissions of a lower priority number go first.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: Priority,
    /// Run time that the caller expects of one task; zero: unknown.
    #[serde(skip_serializing_if = "is_default")]
    pub declared_ms: Millis,
    /// Whether a task may run more than once, one run after the other. Its runs are stopped when
    /// their result is no longer wanted or their entry is silent past its lease.
    #[serde(skip_serializing_if = "is_default")]
    pub repeatable: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
