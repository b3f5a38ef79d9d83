//! Queues, to which callers hand in jobs of one kind.

use std::collections::HashMap;

use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Where callers hand in jobs of one kind, and what these are owed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The name.
    pub queue: QueueName,
    /// Host name that callers use.
    pub host: String,
    /// What the paths of its jobs begin with.
    pub prefix: String,
    /// The group that pays.
    pub group: GroupId,
    /// The service that runs its tasks.
    pub service: ServiceName,
    /// Urgency; zero goes first.
    #[serde(default)]
    pub priority: Priority,
    /// Runs of one task that may end in a failure before the job fails; at least one.
    #[serde(default = "default_max_failures")]
    pub max_failures: u32,
    /// Times its run time that a job may take.
    #[serde(default = "default_stretch")]
    pub stretch: f64,
    /// Time beyond that which a job may take.
    #[serde(default)]
    pub objective_ms: Millis,
}

impl Queue {
    /// Time in which the answer to a job should be there, from the run time of its longest task.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a positive number of milliseconds; a larger one saturates"
    )]
    pub fn objective_for(&self, run: Millis) -> Millis {
        self.objective_ms + Millis::new((run.get() as f64 * self.stretch) as u64)
    }
}

const fn default_max_failures() -> u32 {
    1
}

const fn default_stretch() -> f64 {
    1.0
}

/// All queues of one version of the inventory, by host.
#[derive(Debug, Clone, Default)]
pub struct QueueIndex {
    by_host: HashMap<String, Vec<Queue>>,
}

impl QueueIndex {
    /// Indexes all queues.
    #[must_use]
    pub fn new(queues: &[Queue]) -> Self {
        let mut by_host: HashMap<String, Vec<Queue>> = HashMap::new();
        for queue in queues {
            let host = queue.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(queue.clone());
        }
        for queues in by_host.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        Self { by_host }
    }

    /// The queue with the longest prefix of a path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.by_host.get(&host.to_ascii_lowercase())?;
        queues.iter().find(|queue| path.starts_with(&queue.prefix))
    }
}
