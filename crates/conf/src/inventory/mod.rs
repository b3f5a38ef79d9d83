//! The inventory: groups, services, queues, targets and operators. Operators generate it from their
//! asset register.

mod check;
mod queue;
mod warning;

use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use dfs_wire::target::Resources;
use serde::Deserialize;
use serde::Serialize;

pub use check::check_inventory;
pub use queue::Queue;
pub use queue::QueueIndex;
pub use warning::Warning;

use crate::TokenDigest;

/// The names and properties that the rest of the configuration and all requests refer to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Failure domains; at least one. The settings of a process must name one of them.
    pub domains: Vec<FailureDomain>,
    /// Operators; at least one. Names and token digests are unique.
    pub operators: Vec<Operator>,
    /// Services; at least one. Names are unique.
    pub services: Vec<Service>,
    /// Groups; at least one. Names and token digests are unique, the latter also among operators.
    pub groups: Vec<Group>,
    /// Queues; names are unique, and so are pairs of host and prefix.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<Queue>,
    /// Targets of the asset register. If empty, every target that announces itself is accepted.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// A person or program that may change the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator as it appears in logs; not empty.
    pub operator: String,
    /// Digest of the operator's bearer token.
    pub token_sha256: TokenDigest,
}

/// A service and the resources that it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub service: ServiceName,
    /// Resources that a target must have to run the service.
    #[serde(default)]
    pub requires: Resources,
}

/// A group (team) that submits tasks, and what it is entitled to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    pub group: GroupId,
    /// Weight in fair sharing with the other groups; 1e-6 to 1e6.
    pub share: f64,
    /// Digests of the bearer tokens of the group; at least one.
    pub tokens_sha256: Vec<TokenDigest>,
    /// Services that the group may use; at least one.
    pub services: Vec<ServiceName>,
    /// Targets that may run tasks of the group; if empty, all may.
    #[serde(default)]
    pub targets: Vec<TargetId>,
    /// Maximum number of tasks of the group that one entry may have placed at the same time; no
    /// limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_placed: Option<u32>,
}

/// A target of the asset register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name under which the target announces itself.
    pub target: TargetId,
    /// Failure domain of the target, one of those of the inventory.
    pub domain: FailureDomain,
    /// Rack of the target; any name but an empty one.
    pub rack: String,
    /// Services that the target may run; at least one.
    pub services: Vec<ServiceName>,
    /// Maximum number of tasks that the target runs concurrently.
    pub slots: Slots,
    /// Maximum number of concurrent connections that the target accepts; a lower number than
    /// `slots` is reported as a warning.
    pub connections: u32,
    /// Total resources of the target.
    #[serde(default)]
    pub resources: Resources,
}
