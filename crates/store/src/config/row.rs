//! Keys and contents of the rows that hold the configuration.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ObjectKey;
use crate::RowKey;

/// Content of the head row, which every accepted change replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Active version.
    pub version: ConfigVersion,
    /// Change that created the active version.
    pub change: ChangeId,
}

/// Content of the row of one version. Immutable once written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct VersionRow {
    /// Change that created the version.
    pub(super) change: ChangeId,
    pub(super) body: ConfigBody,
    /// Diff against the previous version; only if the body is in the object store and the diff fits
    /// the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) diff: Option<ConfigDiff>,
}

/// Where the configuration of a version is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ConfigBody {
    /// In the row of the version.
    Inline(Box<Config>),
    /// In the object store, under this key.
    Object(ObjectKey),
}

/// Content of the row of one accepted change. The row exists exactly if the change was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ChangeRow {
    /// Version that the change created.
    pub(super) version: ConfigVersion,
    /// Digest of the serialized configuration. Distinguishes a repeated change from a different one
    /// that reuses its id.
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
