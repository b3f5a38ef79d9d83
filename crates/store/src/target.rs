//! Rows in which agents keep the latest heartbeat of their target, for their next incarnation.

use std::net::SocketAddr;
use std::sync::Arc;

use dfs_conf::StoreSettings;
use dfs_ids::AgentId;
use dfs_wire::target::Offer;
use serde::Deserialize;
use serde::Serialize;

use crate::CommitError;
use crate::Condition;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Prefix of the keys of all target rows.
const PREFIX: &str = "targets/";

/// What an agent knows of its target from heartbeats.
///
/// A row may be out of date. It is of use only while the target reports the same incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Incarnation of the target, as reported by the target.
    pub incarnation: u64,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// Services, slots and resources that the target offers.
    pub offer: Offer,
}

/// Reads and writes target rows.
#[derive(Clone)]
pub struct TargetRows {
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
}

impl TargetRows {
    /// Stores rows in `table`, with a separate write budget of `max_writes_per_s` from the
    /// settings.
    #[must_use]
    pub fn from_settings(table: Arc<dyn TableService>, settings: &StoreSettings) -> Self {
        let budget = WriteBudget::per_second(settings.max_writes_per_s);
        Self {
            table,
            budget: Arc::new(budget),
        }
    }

    /// Replaces the row of an agent.
    ///
    /// # Errors
    ///
    /// The write was not confirmed.
    pub async fn write(&self, agent: &AgentId, row: &TargetRow) -> Result<(), CommitError> {
        let value = serde_json::to_value(row).map_err(|e| CommitError::NotApplied {
            source: StoreError::Malformed {
                what: "target row".to_owned(),
                message: e.to_string(),
            },
        })?;
        let write = RowWrite::put(target_key(agent), Condition::Any, value);
        self.budget.acquire().await;
        self.table.commit(vec![write]).await.map(|_| ())
    }

    /// Reads the row of an agent.
    ///
    /// # Errors
    ///
    /// The read failed, or the row is malformed.
    pub async fn read(&self, agent: &AgentId) -> Result<Option<TargetRow>, StoreError> {
        let rows = self.table.read(vec![target_key(agent)]).await?;
        let row = rows.into_iter().flatten().next();
        row.map(|row| row.parse()).transpose()
    }
}

fn target_key(agent: &AgentId) -> RowKey {
    RowKey::new(format!("{PREFIX}{agent}"))
}
