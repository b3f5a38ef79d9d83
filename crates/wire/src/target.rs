//! Bodies that a target sends to its agent.

use dfs_ids::Label;
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
    /// Labels that a submission may ask for, such as the kind of the instance and its rack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub labels: Vec<Label>,
}

impl Offer {
    /// The part of the target that one task takes, by its scarcest resource or by slots.
    #[must_use]
    pub fn fraction_per_task(&self, demand: &Resources) -> f64 {
        let of_slots = 1.0 / f64::from(self.slots.get().max(1));
        demand.max_fraction_of(&self.resources).max(of_slots)
    }
}

/// Resources of an instance, those that a service requires, or those that one task takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether every resource is at least as large as required.
    #[must_use]
    pub const fn covers(&self, required: &Self) -> bool {
        self.cpu_millis >= required.cpu_millis
            && self.memory_mib >= required.memory_mib
            && self.accelerators >= required.accelerators
    }

    /// Both together.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left after another is taken away; never below zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The largest part of any resource of `whole` that this takes; infinite where `whole` has none.
    #[must_use]
    pub fn max_fraction_of(&self, whole: &Self) -> f64 {
        part(f64::from(self.cpu_millis), f64::from(whole.cpu_millis))
            .max(part(float(self.memory_mib), float(whole.memory_mib)))
            .max(part(
                f64::from(self.accelerators),
                f64::from(whole.accelerators),
            ))
    }
}

fn part(taken: f64, whole: f64) -> f64 {
    if taken == 0.0 { 0.0 } else { taken / whole }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "memory sizes stay far below 2^52 MiB"
)]
const fn float(memory_mib: u64) -> f64 {
    memory_mib as f64
}
