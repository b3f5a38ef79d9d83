//! Rows of the configuration.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ObjectKey;
use crate::RowKey;

/// Content of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version in force.
    pub version: ConfigVersion,
    /// Change that made it.
    pub change: ChangeId,
}

/// Content of the row of one version; never changed once written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct VersionRow {
    /// Change that made the version.
    pub(super) change: ChangeId,
    /// The configuration.
    pub(super) body: Body,
    /// What has changed since the version before, if the body is in the object store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) diff: Option<ConfigDiff>,
}

/// Where the body of a version lies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Body {
    /// In the row.
    Inline(Box<Config>),
    /// In the object store.
    Object(ObjectKey),
}

/// Content of the row of one change; its existence proves that the change was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ChangeRow {
    /// Version that the change became.
    pub(super) version: ConfigVersion,
    /// Digest of the configuration, by which a repetition is told from another change.
    pub(super) content: ObjectKey,
}

pub(super) fn head_key() -> RowKey {
    RowKey::new("config/head")
}

pub(super) fn version_key(version: ConfigVersion) -> RowKey {
    RowKey::new(format!("config/version/{version}"))
}

pub(super) fn change_key(change: &ChangeId) -> RowKey {
    RowKey::new(format!("config/change/{change}"))
}
