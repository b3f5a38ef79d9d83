//! Presence rows, by which agents and operators find the entries.

mod view;

use std::sync::Arc;

use dfs_conf::StoreSettings;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use view::PresenceView;

use crate::CommitError;
use crate::Condition;
use crate::Revision;
use crate::Row;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

const PREFIX: &str = "presence/entry/";

/// Content of the presence row of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRow {
    /// The entry.
    pub entry: EntryId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Address for agents.
    pub address: std::net::SocketAddr,
    /// The row is expired once a reader has seen the same revision for this long.
    pub lease_ms: Millis,
}

/// Writes and lists presence rows.
#[derive(Clone)]
pub struct Presence {
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
}

impl Presence {
    /// Keeps rows in `table`.
    #[must_use]
    pub const fn new(table: Arc<dyn TableService>, budget: Arc<WriteBudget>) -> Self {
        Self { table, budget }
    }

    /// Keeps rows in `table`, with a write budget of its own.
    #[must_use]
    pub fn from_settings(table: Arc<dyn TableService>, settings: &StoreSettings) -> Self {
        let budget = WriteBudget::per_second(settings.max_writes_per_s);
        Self::new(table, Arc::new(budget))
    }

    /// Writes the row of an entry anew, which gives it a new revision.
    ///
    /// # Errors
    ///
    /// The write was not confirmed; the next renewal makes up for it.
    pub async fn renew(&self, row: &PresenceRow) -> Result<Revision, CommitError> {
        let value = serde_json::to_value(row).map_err(|e| CommitError::NotApplied {
            source: StoreError::Malformed {
                what: "presence row".to_owned(),
                message: e.to_string(),
            },
        })?;
        let write = RowWrite::put(presence_key(&row.entry), Condition::Any, value);
        self.budget.acquire().await;
        self.table.commit(vec![write]).await
    }

    /// Removes a row unless it was renewed after `revision`.
    ///
    /// # Errors
    ///
    /// The row was renewed, or the removal was not confirmed.
    pub async fn remove(&self, entry: &EntryId, revision: Revision) -> Result<(), CommitError> {
        let write = RowWrite::delete(presence_key(entry), Condition::At(revision));
        self.budget.acquire().await;
        self.table.commit(vec![write]).await.map(|_| ())
    }

    /// All rows, expired ones too; [`PresenceView::observe`] takes them.
    ///
    /// # Errors
    ///
    /// The table service gave no usable reply.
    pub async fn list(&self) -> Result<Vec<Row>, StoreError> {
        self.table.scan(RowKey::new(PREFIX)).await
    }
}

fn presence_key(entry: &EntryId) -> RowKey {
    RowKey::new(format!("{PREFIX}{entry}"))
}
