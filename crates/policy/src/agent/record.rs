//! Records of accepted tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use dfs_ids::GroupId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::ServiceName;
use dfs_wire::session::Origin;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use serde_json::value::RawValue;

use crate::order::Rank;

/// One accepted task.
#[derive(Debug)]
pub(super) struct TaskRecord {
    /// Entry incarnation that placed the task.
    pub entry: Incarnation,
    pub group: GroupId,
    pub service: ServiceName,
    pub origin: Origin,
    pub accepted_at: Moment,
    /// The task is not started at or after this time.
    pub start_by: Moment,
    pub rank: Rank,
    pub terms: Terms,
    pub stage: Stage,
    /// False once the entry has reported that it no longer needs the result.
    pub is_result_wanted: bool,
}

impl TaskRecord {
    /// Whether a target has crashed under the task before, so that it may crash others.
    pub const fn is_suspect(&self) -> bool {
        self.origin.crashes > 0
    }

    /// Time since the task was started; zero if it is not running.
    pub fn run_ms(&self, now: Moment) -> Millis {
        match self.stage {
            Stage::Running { started_at, .. } => now.since(started_at),
            Stage::Queued { .. } | Stage::Finished { .. } => Millis::default(),
        }
    }
}

/// Latest progress of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    pub percent: u8,
    /// When this percentage was first reported.
    pub since: Moment,
    /// When the run kept its pace last, and how far it was then; zero percent while its pace is unknown.
    pub pace_at: Moment,
    pub pace_percent: u8,
    pub judgement: Judgement,
}

impl Progress {
    pub const fn new(percent: u8, now: Moment) -> Self {
        Self {
            percent,
            since: now,
            pace_at: now,
            pace_percent: 0,
            judgement: Judgement::Open,
        }
    }
}

/// What the progress of a run has shown of its speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Judgement {
    /// Nothing yet.
    Open,
    /// It is at most somewhat slower than expected.
    Typical,
    /// It has been slow since its start.
    Long,
    /// It has fallen far behind its own pace.
    Dropped,
}

/// Lifecycle of an accepted task; a task never returns to an earlier stage.
#[derive(Debug)]
pub(super) enum Stage {
    Queued {
        body: Arc<RawValue>,
    },
    Running {
        started_at: Moment,
        /// Address of the target at the start, which differs from that of a later target.
        address: SocketAddr,
        /// Whether a stop was requested.
        is_stopping: bool,
        /// `None` until the target reports progress.
        progress: Option<Progress>,
    },
    Finished {
        result: TaskResult,
    },
}
