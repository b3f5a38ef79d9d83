//! Crashes of targets, which each agent reports to all entries, and tasks that are given up for them.

use dfs_ids::JobName;
use dfs_ids::Millis;
use dfs_ids::QueueName;
use dfs_ids::TaskIndex;
use serde::Deserialize;
use serde::Serialize;

use super::terms::is_default;

/// A target that exited or started anew, unplanned, while tasks ran on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Number of the crash among those that this incarnation of the agent has noticed, starting at 1.
    pub number: u64,
    /// Time since the agent noticed it.
    pub age_ms: Millis,
    /// Runs that ended with the target, of the tasks of all entries.
    pub runs: Vec<CrashedRun>,
}

/// A run that ended with its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Job of the task.
    pub job: JobName,
    /// Position of the task in the job.
    pub task: TaskIndex,
    /// Queue to which the job was submitted, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
    /// Time from its start until the agent noticed the crash, or until it ended for another reason before.
    pub run_ms: Millis,
    /// Whether the target had confirmed that the run was started; otherwise it may not have begun.
    pub is_confirmed: bool,
    /// Number of targets that had crashed under the task before, as far as its entry knew.
    #[serde(default, skip_serializing_if = "is_default")]
    pub earlier_crashes: u32,
}

/// A task that must not start again, because targets have crashed under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GivenUpTask {
    /// Job of the task.
    pub job: JobName,
    /// Position of the task in the job.
    pub task: TaskIndex,
    /// Number of targets that have crashed under it.
    pub crashes: u32,
    /// Whether enough of these targets had confirmed its start for the job to be shown as failed.
    pub is_confirmed: bool,
}
