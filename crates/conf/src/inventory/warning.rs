//! What an operator should know of a valid inventory.

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

/// Something that is allowed but hardly meant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Warning {
    /// No target may run the service.
    #[display("service {service}: no target of the inventory runs it")]
    NoTarget {
        /// The service.
        service: ServiceName,
    },
    /// Every target of the service is too small.
    #[display(
        "service {service}: no target that runs it has {} millicores, {} MiB of memory and {} \
         accelerators, so that every task is refused as impossible",
        requires.cpu_millis,
        requires.memory_mib,
        requires.accelerators
    )]
    TooSmall {
        /// The service.
        service: ServiceName,
        /// What it requires.
        requires: Resources,
    },
    /// The group may call the service but draws on no target that can run it.
    #[display("group {group}: none of its targets can run service {service}")]
    GroupWithoutTarget {
        /// The group.
        group: GroupId,
        /// The service.
        service: ServiceName,
    },
    /// The target cannot use all of its slots.
    #[display("target {target}: {connections} connections do not serve {slots} slots at once")]
    FewConnections {
        /// The target.
        target: TargetId,
        /// Its connections.
        connections: u32,
        /// Its slots.
        slots: Slots,
    },
}

impl Inventory {
    /// Warnings of a valid inventory; one without targets has none, as any target may serve.
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
        let mut running = self.targets.iter().filter(|t| t.runs(service)).peekable();
        if running.peek().is_none() {
            return Some(Warning::NoTarget {
                service: service.service.clone(),
            });
        }
        let too_small = !running.any(|t| t.resources.covers(&service.requires));
        too_small.then(|| Warning::TooSmall {
            service: service.service.clone(),
            requires: service.requires,
        })
    }

    /// Services that some target can run, but none of the group's.
    fn group_warnings(&self, group: &Group) -> Vec<Warning> {
        let listed: HashSet<&TargetId> = group.targets.iter().collect();
        let draws_on = |t: &Target| listed.is_empty() || listed.contains(&t.target);
        self.services
            .iter()
            .filter(|s| group.services.contains(&s.service))
            .filter(|s| self.targets.iter().any(|t| t.can_run(s)))
            .filter(|s| !self.targets.iter().any(|t| draws_on(t) && t.can_run(s)))
            .map(|s| Warning::GroupWithoutTarget {
                group: group.group.clone(),
                service: s.service.clone(),
            })
            .collect()
    }
}

impl Target {
    fn runs(&self, service: &Service) -> bool {
        self.services.contains(&service.service)
    }

    fn can_run(&self, service: &Service) -> bool {
        self.runs(service) && self.resources.covers(&service.requires)
    }
}

fn target_warning(target: &Target) -> Option<Warning> {
    (target.connections < target.slots.get()).then(|| Warning::FewConnections {
        target: target.target.clone(),
        connections: target.connections,
        slots: target.slots,
    })
}
