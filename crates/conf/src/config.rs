//! One version of the configuration.

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use serde::Deserialize;
use serde::Serialize;

use crate::Faults;
use crate::Group;
use crate::Inventory;
use crate::Rules;
use crate::Service;
use crate::Warning;
use crate::fault::unless_faulty;

/// An accepted configuration, immutable once it has a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its version.
    pub version: ConfigVersion,
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    pub rules: Rules,
}

impl Config {
    /// Checks inventory and rules, and returns what an operator should know.
    ///
    /// # Errors
    ///
    /// All faults of both.
    pub fn check(&self) -> Result<Vec<Warning>, Faults> {
        let mut faults = Vec::new();
        let checks = [
            ("inventory", self.inventory.check()),
            ("rules", self.rules.check()),
        ];
        for (name, check) in checks {
            faults.extend(check.err().into_iter().flat_map(|f| f.within(name)));
        }
        unless_faulty(self.inventory.warnings(), faults)
    }

    /// The group of that name.
    #[must_use]
    pub fn group(&self, group: &GroupId) -> Option<&Group> {
        self.inventory.groups.iter().find(|g| g.group == *group)
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, service: &dfs_ids::ServiceName) -> Option<&Service> {
        self.inventory
            .services
            .iter()
            .find(|s| s.service == *service)
    }
}
