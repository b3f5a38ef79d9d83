//! Request bodies that a target sends to its agent.

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
    /// Address on which the target accepts tasks, as `IP:port`.
    pub address: std::net::SocketAddr,
    /// The agent drops the target if no heartbeat arrives within this time.
    pub lease_ms: Millis,
    /// What the target offers.
    pub offer: Offer,
}

/// Services and capacity of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The target's name in the inventory.
    pub target: TargetId,
    /// Services that the target runs.
    pub services: Vec<ServiceName>,
    /// Number of tasks that the target runs concurrently; at least one.
    pub slots: Slots,
    /// Number of connections that the target accepts from its agent; at least one.
    pub connections: u32,
    /// Resources of the instance; zero where it has none or they are not declared.
    #[serde(default)]
    pub resources: Resources,
    /// Labels that a submission may require, such as the instance type or the rack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub labels: Vec<Label>,
}

impl Offer {
    /// Whether the target has the label that a task requires, if it requires one.
    #[must_use]
    pub fn has_label(&self, required: Option<&Label>) -> bool {
        required.is_none_or(|label| self.labels.contains(label))
    }

    /// Whether a target with the other offer can be expected to be as fast: it is the same one, with the same labels
    /// and capacity.
    #[must_use]
    pub fn is_alike(&self, other: &Self) -> bool {
        self.target == other.target
            && self.slots == other.slots
            && self.resources == other.resources
            && self.labels == other.labels
    }

    /// Fraction of the target that one task takes: that of its scarcest resource, but at least one slot.
    ///
    /// Infinite if the task requires a resource that the target does not have.
    #[must_use]
    pub fn fraction_per_task(&self, demand: &Resources) -> f64 {
        let slot_fraction = 1.0 / f64::from(self.slots.get().max(1));
        demand.max_fraction_of(&self.resources).max(slot_fraction)
    }
}

/// Amounts of each resource: those of an instance, those that a service requires, or those that one task
/// takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether the amount of every resource is at least the required one.
    #[must_use]
    pub const fn covers(&self, required: &Self) -> bool {
        self.cpu_millis >= required.cpu_millis
            && self.memory_mib >= required.memory_mib
            && self.accelerators >= required.accelerators
    }

    /// Sum by resource, saturating at the largest amount.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference by resource, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Largest fraction that these resources take of any resource of `whole`.
    ///
    /// Infinite if they include a resource of which `whole` has none.
    #[must_use]
    pub fn max_fraction_of(&self, whole: &Self) -> f64 {
        fraction(f64::from(self.cpu_millis), f64::from(whole.cpu_millis))
            .max(fraction(
                mib_as_f64(self.memory_mib),
                mib_as_f64(whole.memory_mib),
            ))
            .max(fraction(
                f64::from(self.accelerators),
                f64::from(whole.accelerators),
            ))
    }
}

fn fraction(taken: f64, whole: f64) -> f64 {
    if taken == 0.0 { 0.0 } else { taken / whole }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "memory sizes stay far below 2^52 MiB"
)]
const fn mib_as_f64(memory_mib: u64) -> f64 {
    memory_mib as f64
}
