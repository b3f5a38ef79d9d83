//! One version of the configuration.

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use serde::Deserialize;
use serde::Serialize;

use crate::Group;
use crate::Inventory;
use crate::Rules;
use crate::Service;
use crate::ValidationErrors;
use crate::Warning;
use crate::fault::ok_unless_errors;

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
    /// All errors of both.
    pub fn check(&self) -> Result<Vec<Warning>, ValidationErrors> {
        let mut errors = Vec::new();
        let checks = [
            ("inventory", self.inventory.check()),
            ("rules", self.rules.check()),
        ];
        for (name, check) in checks {
            errors.extend(check.err().into_iter().flat_map(|f| f.within(name)));
        }
        ok_unless_errors(self.inventory.warnings(), errors)
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
