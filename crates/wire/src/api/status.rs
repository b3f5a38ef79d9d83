//! Body of `GET /v1/status`.

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

/// What one entry sees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry that answers.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Version in force at the entry, absent before the first.
    pub version: Option<ConfigVersion>,
    /// Time since the table service last confirmed the head version.
    pub config_age_ms: Option<Millis>,
    /// Whether new submissions are taken.
    pub ready: bool,
    /// Open submissions.
    pub open_submissions: u64,
    /// Messages sent to and received from agents since the start.
    pub session_messages: u64,
    /// Tasks settled since the start.
    pub tasks_settled: u64,
    /// Version in force in each failure domain.
    pub domains: Vec<DomainStatus>,
    /// Queues and shares of the groups.
    pub groups: Vec<GroupStatus>,
    /// Targets with a session at this entry.
    pub targets: Vec<TargetStatus>,
}

/// Versions held in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Lowest version held by any of its processes.
    pub lowest: ConfigVersion,
    /// Highest version held by any of its processes.
    pub highest: ConfigVersion,
    /// Processes counted.
    pub processes: u64,
}

/// One group as seen by one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its share in the inventory.
    pub share: f64,
    /// Tasks queued at the entry.
    pub queued: u64,
    /// Tasks placed and not settled.
    pub placed: u64,
    /// Busy time of its settled tasks in milliseconds.
    pub busy_ms: u64,
}

/// One target as seen by one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target, absent if none has announced itself to the agent.
    pub target: Option<TargetId>,
    /// The agent beside it.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Services on offer.
    pub services: Vec<ServiceName>,
    /// Slots.
    pub slots: Slots,
    /// Tasks of this entry placed there and not settled.
    pub placed: u64,
    /// Whether it is set aside for failing.
    pub ejected: bool,
    /// Version held by the agent.
    pub version: Option<ConfigVersion>,
    /// Time since the agent was last heard.
    pub silent_ms: Millis,
}
