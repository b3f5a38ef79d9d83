//! Bodies that a target sends to its agent.

use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/target/announce` and of each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address on which the target takes tasks, as `IP:port`.
    pub address: std::net::SocketAddr,
    /// The agent forgets the target if no heartbeat comes within this time.
    pub lease_ms: Millis,
    /// What the target offers.
    pub offer: Offer,
}

/// What a target offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The target's name in the inventory.
    pub target: TargetId,
    /// Services that it runs.
    pub services: Vec<ServiceName>,
    /// Tasks that it runs at once; at least one.
    pub slots: Slots,
    /// Connections that it accepts from its agent; at least one.
    pub connections: u32,
    /// Resources of the instance.
    #[serde(default)]
    pub resources: Resources,
}

/// Resources of an instance, or those that a service requires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether every resource is at least as large as required.
    #[must_use]
    pub const fn covers(&self, required: &Self) -> bool {
        self.cores >= required.cores
            && self.memory_mib >= required.memory_mib
            && self.accelerators >= required.accelerators
    }
}
