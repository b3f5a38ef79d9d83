//! Queues, which map the host and path of a request to the terms of its job.

use std::collections::HashMap;

use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// A queue to which callers submit jobs of one kind, and the terms that apply to these.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub queue: QueueName,
    /// Host name of the requests, compared without regard to case; not empty.
    pub host: String,
    /// Prefix of the paths of the requests; not empty.
    pub prefix: String,
    /// Group to whose share the tasks are charged.
    pub group: GroupId,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Priority of the tasks; 0 is the highest.
    #[serde(default)]
    pub priority: Priority,
    /// Number of failed runs of one task after which the job fails, at least 1; `null` for no limit, so that
    /// only the deadline ends the job. If absent, it is 1.
    #[serde(default = "default_max_failures")]
    pub max_failures: Option<u32>,
    /// Multiple of its run time within which a job should be answered; at least 1.
    #[serde(default = "default_stretch")]
    pub stretch: f64,
    /// Fixed time that is added to that multiple.
    #[serde(default)]
    pub objective_ms: Millis,
}

impl Queue {
    /// Latency objective of a job whose longest task runs for the given time.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the number of milliseconds is positive, and the cast saturates"
    )]
    pub fn objective_for(&self, run_time: Millis) -> Millis {
        self.objective_ms + Millis::new((run_time.get() as f64 * self.stretch) as u64)
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the type of the field")]
const fn default_max_failures() -> Option<u32> {
    Some(1)
}

const fn default_stretch() -> f64 {
    1.0
}

/// Index of all queues of one version of the inventory by host.
#[derive(Debug, Clone, Default)]
pub struct QueueIndex {
    /// Keyed by the host in lower case; the queues of a host are sorted by the length of the
    /// prefix, longest first.
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

    /// Finds the queue of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.by_host.get(&host.to_ascii_lowercase())?;
        queues.iter().find(|queue| path.starts_with(&queue.prefix))
    }
}
