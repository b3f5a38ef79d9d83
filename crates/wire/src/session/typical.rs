//! Kinds of work and their typical run times.

use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Tasks whose run times can be compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// Tasks of the submissions of one queue.
    Queue(QueueName),
    /// Tasks of the submissions for one service that name no queue.
    Service(ServiceName),
}

impl WorkKind {
    /// Kind of the tasks of a submission.
    #[must_use]
    pub fn new(queue: Option<&QueueName>, service: &ServiceName) -> Self {
        queue.map_or_else(
            || Self::Service(service.clone()),
            |queue| Self::Queue(queue.clone()),
        )
    }
}

/// Typical run times of a kind of work, as an entry has learnt them from the runs on all targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TypicalRuns {
    /// Kind of the runs.
    pub kind: WorkKind,
    /// Typical run time over the declared one, in thousandths.
    pub ratio_permille: u32,
    /// Fraction of the runs that take at least three times as long, in thousandths.
    pub long_permille: u32,
}
