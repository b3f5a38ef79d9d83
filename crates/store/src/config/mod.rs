//! The configuration in the table service.
//!
//! One head row points to the version in force; each version and each change has a row of its own.

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
use row::Body;
use row::VersionRow;
use row::head_key;
use row::version_key;

/// Most differences that are read in place of a whole version.
const MAX_DIFFS: u64 = 16;

/// Largest configuration that is kept in its row; larger ones go to the object store.
pub const MAX_INLINE_BYTES: usize = 32 << 10;

/// An operator's change, checked before it gets here.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigChange {
    /// Idempotency key.
    pub id: ChangeId,
    /// Version on which the change is based; zero if there is none yet.
    pub base: ConfigVersion,
    /// The configuration that shall be in force; its version is the one after `base`.
    pub config: Config,
    /// The same as a difference to `base`, for processes that hold it.
    pub diff: Option<ConfigDiff>,
}

/// Reads and replaces the configuration.
#[derive(Clone)]
pub struct ConfigStore {
    table: Arc<dyn TableService>,
    objects: Arc<dyn ObjectStore>,
    budget: Arc<WriteBudget>,
    max_inline_bytes: usize,
}

impl ConfigStore {
    /// Keeps versions in `table`, large ones in `objects`.
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

    /// The same with another limit for bodies in rows.
    #[must_use]
    pub const fn with_max_inline_bytes(mut self, max_inline_bytes: usize) -> Self {
        self.max_inline_bytes = max_inline_bytes;
        self
    }

    /// The head, or none if no configuration was ever accepted.
    ///
    /// # Errors
    ///
    /// The table service gave no usable reply.
    pub async fn read_head(&self) -> Result<Option<ConfigHead>, StoreError> {
        let rows = self.table.read(vec![head_key()]).await?;
        rows.into_iter()
            .flatten()
            .next()
            .map(|r| r.parse())
            .transpose()
    }

    /// One version.
    ///
    /// # Errors
    ///
    /// The version does not exist, its body is damaged, or the platform gave no usable reply.
    pub async fn read_version(&self, version: ConfigVersion) -> Result<Config, ConfigReadError> {
        let rows = self.table.read(vec![version_key(version)]).await?;
        let Some(row) = rows.into_iter().flatten().next() else {
            return Err(ConfigReadError::VersionNotFound { version });
        };
        match row.parse::<VersionRow>()?.body {
            Body::Inline(config) => Ok(*config),
            Body::Object(key) => self.read_object(version, key).await,
        }
    }

    /// What a process that holds version `held` needs to hold `newest`: the differences between, if
    /// their rows have them, else the whole.
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
            if let Some(diffs) = diffs(&rows) {
                return Ok(ConfigUpdate::Diffs(diffs));
            }
        }
        let whole = self.read_version(newest).await?;
        Ok(ConfigUpdate::Whole(Box::new(whole)))
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

/// The differences of the rows, if every row has one.
fn diffs(rows: &[Option<Row>]) -> Option<Vec<ConfigDiff>> {
    let diff = |row: &Option<Row>| row.as_ref()?.parse::<VersionRow>().ok()?.diff;
    rows.iter().map(diff).collect()
}
