//! What a restarted agent recalls of its target.

use dfs_ids::AgentId;
use dfs_log::ErrorText;
use dfs_log::TargetEvent;
use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::TargetIncarnation;
use dfs_store::TargetRow;
use dfs_store::TargetRows;

/// The target's latest heartbeat as it is kept in the store.
#[derive(Clone)]
pub(super) struct TargetMemory {
    pub agent: AgentId,
    pub rows: TargetRows,
}

impl TargetMemory {
    /// The stored heartbeat; `None` if there is none or the store can't be read, which only means that
    /// the agent has to wait for the target's next heartbeat.
    pub async fn recall(&self) -> Option<Heartbeat> {
        let read = self.rows.read(&self.agent).await;
        let row = read.unwrap_or_else(|error| {
            let error = ErrorText::new(&error);
            dfs_log::emit(TargetEvent::NotRecalled { error });
            None
        })?;
        Some(Heartbeat {
            target: row.offer.target.clone(),
            incarnation: Some(TargetIncarnation(row.incarnation)),
            // Any heartbeat of the target replaces it.
            sequence: 0,
            address: row.address,
            is_draining: row.is_draining,
            offer: row.offer,
        })
    }

    /// Whether the heartbeat was stored. One that was not is stored with the next heartbeat.
    pub async fn store(&self, heartbeat: &Heartbeat) -> bool {
        let Some(TargetIncarnation(incarnation)) = heartbeat.incarnation else {
            return false;
        };
        let row = TargetRow {
            incarnation,
            address: heartbeat.address,
            is_draining: heartbeat.is_draining,
            offer: heartbeat.offer.clone(),
        };
        self.rows.write(&self.agent, &row).await.is_ok()
    }
}
