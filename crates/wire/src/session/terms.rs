//! Requirements and priority that all tasks of a submission have in common.

use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Priority;
use serde::Deserialize;
use serde::Serialize;

use crate::target::Resources;

/// Scheduling parameters of a submission, applied alike by its entry and by the agents of its tasks.
///
/// Parameters with their default value are omitted on the wire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Resources that one task takes on its target. A task always takes one slot as well.
    #[serde(skip_serializing_if = "is_default")]
    pub demand: Resources,
    /// Submissions with a lower number are placed and started first.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: Priority,
    /// Run time of one task as expected by the caller; zero if unknown.
    #[serde(skip_serializing_if = "is_default")]
    pub declared_ms: Millis,
    /// Whether a task may run more than once, but only one run at a time. A run is stopped when its result
    /// is no longer needed or when the lease of its entry has expired.
    #[serde(skip_serializing_if = "is_default")]
    pub repeatable: bool,
    /// Label that the target must offer. The agent checks it too: when a placement arrives or a task starts, the
    /// target may be another one than the entry has seen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Label>,
    /// Label of the targets near the task's data. Elsewhere a run takes longer, by the `far_factor` rule. Builds
    /// that don't know the field reject it, so an entry sets it only where that rule is in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near: Option<Label>,
}

pub(super) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
