//! The inventory, drawn from the operators' asset register.

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

/// Groups, services, targets and operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Failure domains; a process of another domain is a fault of its settings.
    pub domains: Vec<FailureDomain>,
    /// Operators; at least one.
    pub operators: Vec<Operator>,
    /// Services.
    pub services: Vec<Service>,
    /// Groups; names and token digests are unique.
    pub groups: Vec<Group>,
    /// Queues; names and pairs of host and prefix are unique.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<Queue>,
    /// Targets of the asset register. Empty: every target that announces itself may serve.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// A person or program that may change the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name, for the log.
    pub operator: String,
    /// Digest of the token.
    pub token_sha256: TokenDigest,
}

/// A service and what its targets need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub service: ServiceName,
    /// Resources that a target must have to run it.
    #[serde(default)]
    pub requires: Resources,
}

/// A group and what it is owed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The name.
    pub group: GroupId,
    /// Weight against the other groups; above zero.
    pub share: f64,
    /// Digests of its tokens; at least one.
    pub tokens_sha256: Vec<TokenDigest>,
    /// Services that it may call.
    pub services: Vec<ServiceName>,
    /// Targets that it may draw on; empty: all.
    #[serde(default)]
    pub targets: Vec<TargetId>,
    /// Most tasks that it may have placed at once, over one entry; absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_placed: Option<u32>,
}

/// A target of the asset register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name under which it announces itself.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its rack.
    pub rack: String,
    /// Services that it may run.
    pub services: Vec<ServiceName>,
    /// Tasks that it runs at once.
    pub slots: Slots,
    /// Connections that it accepts.
    pub connections: u32,
    /// Its resources.
    #[serde(default)]
    pub resources: Resources,
}
