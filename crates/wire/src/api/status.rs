//! Response body of `GET /v1/status`.

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

/// State of one entry, and of the groups, targets and failure domains as it sees them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry that responds.
    pub entry: EntryId,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Configuration version active at the entry; absent until the first has been loaded.
    pub version: Option<ConfigVersion>,
    /// Time since the table service last confirmed the head version.
    pub config_age_ms: Option<Millis>,
    /// Whether the entry accepts submissions.
    pub ready: bool,
    /// Number of open submissions.
    pub open_submissions: u64,
    /// Number of messages sent to and received from agents since the process started.
    pub session_messages: u64,
    /// Number of task runs that have ended, successfully or not, since the process started.
    pub tasks_settled: u64,
    /// Configuration versions active in each failure domain.
    pub domains: Vec<DomainStatus>,
    /// Share and workload of each group in the inventory.
    pub groups: Vec<GroupStatus>,
    /// Targets whose agents are known to this entry.
    pub targets: Vec<TargetStatus>,
}

/// Configuration versions in one failure domain, as known to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Lowest version active at any process counted.
    pub lowest: ConfigVersion,
    /// Highest version active at any process counted.
    pub highest: ConfigVersion,
    /// Number of processes counted: the entry itself, and agents that get their configuration from it.
    pub processes: u64,
}

/// Workload of one group at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Share of the group, as set in the inventory.
    pub share: f64,
    /// Number of tasks queued at the entry.
    pub queued: u64,
    /// Number of tasks placed at agents and not finished yet.
    pub placed: u64,
    /// Total run time of its finished tasks since the process started, in milliseconds.
    pub busy_ms: u64,
}

/// State of one target as seen by one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target; absent if none is announced at the agent.
    pub target: Option<TargetId>,
    /// The agent of the target.
    pub agent: AgentId,
    /// Failure domain of the agent.
    pub domain: FailureDomain,
    /// Services that the target offers.
    pub services: Vec<ServiceName>,
    /// Number of tasks that the target runs concurrently.
    pub slots: Slots,
    /// Number of tasks that this entry has placed there and that are not finished yet.
    pub placed: u64,
    /// Whether the target is temporarily excluded from placement, because it kept failing.
    pub ejected: bool,
    /// Configuration version active at the agent; absent if not reported yet.
    pub version: Option<ConfigVersion>,
    /// Time since the latest report of the agent.
    pub silent_ms: Millis,
}
