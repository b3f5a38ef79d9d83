//! Tasks that an agent has accepted.

use std::net::SocketAddr;
use std::sync::Arc;

use dfs_ids::GroupId;
use dfs_ids::Incarnation;
use dfs_ids::Moment;
use dfs_ids::ServiceName;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use serde_json::value::RawValue;

use crate::order::Rank;

/// One accepted task.
#[derive(Debug)]
pub(super) struct Record {
    /// The entry incarnation that placed it.
    pub entry: Incarnation,
    pub group: GroupId,
    pub service: ServiceName,
    pub accepted_at: Moment,
    /// Never started at or after this point.
    pub start_by: Moment,
    pub rank: Rank,
    pub terms: Terms,
    pub stage: Stage,
    /// False once the entry has said that it needs no result.
    pub wanted: bool,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// Hundredths of its work.
    pub percent: u8,
    /// When it came that far.
    pub since: Moment,
}

/// Stage of an accepted task; it only ever moves down this list.
#[derive(Debug)]
pub(super) enum Stage {
    Queued {
        body: Arc<RawValue>,
    },
    Running {
        started_at: Moment,
        /// The target's address at the start; a successor has another one.
        address: SocketAddr,
        /// Whether the target was told to stop it.
        is_stopping: bool,
        /// How far it has come, where the target tells.
        progress: Option<Progress>,
    },
    Finished {
        result: TaskResult,
    },
}
