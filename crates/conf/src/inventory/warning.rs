//! Warnings about a valid inventory.

use std::collections::HashSet;

use derive_more::Display;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use dfs_wire::target::Resources;

use super::Group;
use super::Inventory;
use super::Service;
use super::Target;

/// A property of a valid inventory that is probably a mistake.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Warning {
    /// No target lists the service.
    #[display("service {service}: no target of the inventory runs it")]
    NoTarget {
        /// Name of the service.
        service: ServiceName,
    },
    /// No target that lists the service has the resources that it requires.
    #[display(
        "service {service}: no target that runs it has {} millicores, {} MiB of memory and {} \
         accelerators, so that every task is refused as impossible",
        requires.cpu_millis,
        requires.memory_mib,
        requires.accelerators
    )]
    InsufficientResources {
        /// Name of the service.
        service: ServiceName,
        /// Resources that the service requires.
        requires: Resources,
    },
    /// The group may use the service, but none of the targets available to the group can run it.
    #[display("group {group}: none of its targets can run service {service}")]
    GroupWithoutTarget {
        /// Name of the group.
        group: GroupId,
        /// Name of the service.
        service: ServiceName,
    },
    /// The target accepts fewer connections than it has slots, so that some slots stay unused.
    #[display("target {target}: {connections} connections do not serve {slots} slots at once")]
    TooFewConnections {
        /// Name of the target.
        target: TargetId,
        /// Maximum number of connections of the target.
        connections: u32,
        /// Number of slots of the target.
        slots: Slots,
    },
}

impl Inventory {
    /// Warnings about a valid inventory. An inventory without targets has none, as it accepts every
    /// target.
    #[must_use]
    pub fn warnings(&self) -> Vec<Warning> {
        if self.targets.is_empty() {
            return Vec::new();
        }
        let services = self.services.iter().filter_map(|s| self.service_warning(s));
        let groups = self.groups.iter().flat_map(|g| self.group_warnings(g));
        let targets = self.targets.iter().filter_map(target_warning);
        services.chain(groups).chain(targets).collect()
    }

    fn service_warning(&self, service: &Service) -> Option<Warning> {
        let mut listing_targets = self
            .targets
            .iter()
            .filter(|t| t.lists_service(service))
            .peekable();
        if listing_targets.peek().is_none() {
            return Some(Warning::NoTarget {
                service: service.service.clone(),
            });
        }
        let all_too_small = !listing_targets.any(|t| t.resources.covers(&service.requires));
        all_too_small.then(|| Warning::InsufficientResources {
            service: service.service.clone(),
            requires: service.requires,
        })
    }

    /// Warns of services of the group that some target can run, but none available to the group.
    fn group_warnings(&self, group: &Group) -> Vec<Warning> {
        let listed: HashSet<&TargetId> = group.targets.iter().collect();
        let is_available = |t: &Target| listed.is_empty() || listed.contains(&t.target);
        self.services
            .iter()
            .filter(|s| group.services.contains(&s.service))
            .filter(|s| self.targets.iter().any(|t| t.can_run(s)))
            .filter(|s| !self.targets.iter().any(|t| is_available(t) && t.can_run(s)))
            .map(|s| Warning::GroupWithoutTarget {
                group: group.group.clone(),
                service: s.service.clone(),
            })
            .collect()
    }
}

impl Target {
    fn lists_service(&self, service: &Service) -> bool {
        self.services.contains(&service.service)
    }

    fn can_run(&self, service: &Service) -> bool {
        self.lists_service(service) && self.resources.covers(&service.requires)
    }
}

fn target_warning(target: &Target) -> Option<Warning> {
    (target.connections < target.slots.get()).then(|| Warning::TooFewConnections {
        target: target.target.clone(),
        connections: target.connections,
        slots: target.slots,
    })
}
