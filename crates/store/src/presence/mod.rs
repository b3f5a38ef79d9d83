//! Presence rows, through which agents and operators discover the running entries.

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

/// Prefix of the keys of all presence rows.
const PREFIX: &str = "presence/entry/";

/// Content of the presence row of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRow {
    /// Entry that writes the row.
    pub entry: EntryId,
    /// Incarnation of the entry process, which distinguishes it from an earlier process of the same
    /// name.
    pub incarnation: Incarnation,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Address to which agents connect.
    pub address: std::net::SocketAddr,
    /// The row is expired for a reader that has seen the same revision for this long.
    pub lease_ms: Millis,
}

/// Longest lease of a row. A longer one was not written by an entry, and its row would stay for good.
const MAX_LEASE_MS: Millis = Millis::new(600_000);

impl PresenceRow {
    /// Decodes a row and checks that it can be one of an entry: anyone with access to the table may have written it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Malformed`] if a field is missing or of another type, the row is not under the key of its
    /// entry, no connection can be opened to its address, or its lease is out of range.
    pub fn parse(row: &Row) -> Result<Self, StoreError> {
        let malformed = |message: String| {
            let what = format!("row {}", row.key);
            Err(StoreError::Malformed { what, message })
        };
        if !row.value.is_object() {
            return malformed("it is no object".to_owned());
        }
        let content: Self = row.parse()?;
        if row.key != presence_key(&content.entry) {
            return malformed(format!("it is of entry {}", content.entry));
        }
        let address = content.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return malformed(format!("{address} is no address to connect to"));
        }
        let lease_ms = content.lease_ms;
        if lease_ms == Millis::default() || lease_ms > MAX_LEASE_MS {
            return malformed(format!("lease of {lease_ms}, allowed: 1 to {MAX_LEASE_MS}"));
        }
        Ok(content)
    }
}

/// Writes, lists and removes presence rows.
#[derive(Clone)]
pub struct Presence {
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
}

impl Presence {
    /// Stores rows in `table`; writes share `budget` with its other holders.
    #[must_use]
    pub const fn new(table: Arc<dyn TableService>, budget: Arc<WriteBudget>) -> Self {
        Self { table, budget }
    }

    /// Stores rows in `table`, with a separate write budget of `max_writes_per_s` from the
    /// settings.
    #[must_use]
    pub fn from_settings(table: Arc<dyn TableService>, settings: &StoreSettings) -> Self {
        let budget = WriteBudget::per_second(settings.max_writes_per_s);
        Self::new(table, Arc::new(budget))
    }

    /// Writes the row of an entry, which gives it a new revision and so renews its lease.
    ///
    /// # Errors
    ///
    /// The write was not confirmed. The next renewal can make up for it if it comes within the
    /// lease.
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

    /// Removes the row of an entry unless it was renewed after `revision`.
    ///
    /// # Errors
    ///
    /// The row was renewed or is already gone, or the removal was not confirmed.
    pub async fn remove(&self, entry: &EntryId, revision: Revision) -> Result<(), CommitError> {
        let write = RowWrite::delete(presence_key(entry), Condition::At(revision));
        self.budget.acquire().await;
        self.table.commit(vec![write]).await.map(|_| ())
    }

    /// Lists all rows, including expired ones; [`PresenceView::observe`] determines which are
    /// expired.
    ///
    /// # Errors
    ///
    /// The scan of the table failed.
    pub async fn list(&self) -> Result<Vec<Row>, StoreError> {
        self.table.scan(RowKey::new(PREFIX)).await
    }
}

fn presence_key(entry: &EntryId) -> RowKey {
    RowKey::new(format!("{PREFIX}{entry}"))
}
