//! Versioned storage of the configuration.
//!
//! The head row names the active version. Each version and each accepted change has a row of its
//! own; all three rows are written in one commit.

mod apply;
mod error;
mod row;

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigUpdate;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;

pub use error::ApplyError;
pub use error::ConfigReadError;
pub use row::ConfigHead;

use crate::ObjectKey;
use crate::ObjectStore;
use crate::Row;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;
use row::ConfigBody;
use row::VersionRow;
use row::head_key;
use row::version_key;

/// Largest number of versions that a reader catches up by diffs; beyond it, the whole configuration
/// is read.
const MAX_DIFFS: u64 = 16;

/// Largest serialized configuration that is stored in the row of its version; larger ones go to the
/// object store.
pub const MAX_INLINE_BYTES: usize = 32 << 10;

/// An operator's change of the configuration; the caller has validated it.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigChange {
    /// Idempotency key: repeating a change with the same id has no further effect.
    pub id: ChangeId,
    /// Version on which the change is based; 0 if no configuration exists yet.
    pub base: ConfigVersion,
    /// The new configuration; its version is the one after `base`.
    pub config: Config,
    /// The same change as a diff against `base`, for processes that already hold `base`.
    pub diff: Option<ConfigDiff>,
}

/// Reads and replaces the configuration in the platform's stores.
#[derive(Clone)]
pub struct ConfigStore {
    table: Arc<dyn TableService>,
    objects: Arc<dyn ObjectStore>,
    budget: Arc<WriteBudget>,
    max_inline_bytes: usize,
}

impl ConfigStore {
    /// Stores versions in `table` and bodies over 32 KiB in `objects`. Writes to both are limited by
    /// `budget`.
    #[must_use]
    pub fn new(
        table: Arc<dyn TableService>,
        objects: Arc<dyn ObjectStore>,
        budget: Arc<WriteBudget>,
    ) -> Self {
        Self {
            table,
            objects,
            budget,
            max_inline_bytes: MAX_INLINE_BYTES,
        }
    }

    /// Replaces the limit of 32 KiB, which applies to bodies and to diffs.
    #[must_use]
    pub const fn with_max_inline_bytes(mut self, max_inline_bytes: usize) -> Self {
        self.max_inline_bytes = max_inline_bytes;
        self
    }

    /// Reads the head; `None` if no configuration was ever accepted.
    ///
    /// # Errors
    ///
    /// The read failed or the head row is malformed.
    pub async fn read_head(&self) -> Result<Option<ConfigHead>, StoreError> {
        let rows = self.table.read(vec![head_key()]).await?;
        rows.into_iter()
            .flatten()
            .next()
            .map(|r| r.parse())
            .transpose()
    }

    /// Reads one version.
    ///
    /// # Errors
    ///
    /// The version or its body does not exist, the body is corrupt or malformed, or a read failed.
    pub async fn read_version(&self, version: ConfigVersion) -> Result<Config, ConfigReadError> {
        let rows = self.table.read(vec![version_key(version)]).await?;
        let Some(row) = rows.into_iter().flatten().next() else {
            return Err(ConfigReadError::VersionNotFound { version });
        };
        match row.parse::<VersionRow>()?.body {
            ConfigBody::Inline(config) => Ok(*config),
            ConfigBody::Object(key) => self.read_object(version, key).await,
        }
    }

    /// Reads what takes a process from version `held` to `newest`: the diffs in between if all
    /// their rows have one and there are at most 16, otherwise the whole configuration.
    ///
    /// # Errors
    ///
    /// As for [`ConfigStore::read_version`].
    pub async fn read_update(
        &self,
        held: ConfigVersion,
        newest: ConfigVersion,
    ) -> Result<ConfigUpdate, ConfigReadError> {
        let missing = newest.get().saturating_sub(held.get());
        if held != ConfigVersion::default() && missing <= MAX_DIFFS {
            let versions = (held.next().get()..=newest.get()).map(ConfigVersion::new);
            let rows = self.table.read(versions.map(version_key).collect()).await?;
            if let Some(diffs) = collect_diffs(&rows) {
                return Ok(ConfigUpdate::Diffs(diffs));
            }
        }
        let whole = self.read_version(newest).await?;
        Ok(ConfigUpdate::Full(Box::new(whole)))
    }

    async fn read_object(
        &self,
        version: ConfigVersion,
        key: ObjectKey,
    ) -> Result<Config, ConfigReadError> {
        let Some(content) = self.objects.get(key.clone()).await? else {
            return Err(ConfigReadError::ObjectNotFound { version, key });
        };
        if ObjectKey::of(&content) != key {
            return Err(ConfigReadError::Corrupt { version, key });
        }
        let config = serde_json::from_slice(&content).map_err(|e| StoreError::Malformed {
            what: format!("object {key}"),
            message: e.to_string(),
        })?;
        Ok(config)
    }
}

/// The diffs of the rows, or `None` if any row is missing, malformed or has no diff.
fn collect_diffs(rows: &[Option<Row>]) -> Option<Vec<ConfigDiff>> {
    let parse_diff = |row: &Option<Row>| row.as_ref()?.parse::<VersionRow>().ok()?.diff;
    rows.iter().map(parse_diff).collect()
}
