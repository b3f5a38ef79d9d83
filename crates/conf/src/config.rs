//! One version of the configuration: an inventory and its rules.

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

/// A version of the configuration. A change results in a new version; the contents of a version
/// never change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Increases with every accepted change.
    pub version: ConfigVersion,
    /// Groups, services, queues, targets and operators.
    pub inventory: Inventory,
    /// Limits and policies.
    pub rules: Rules,
}

impl Config {
    /// Validates inventory and rules, and returns warnings about a valid inventory.
    ///
    /// # Errors
    ///
    /// All errors of inventory and rules, with paths from the root of the configuration.
    pub fn check(&self) -> Result<Vec<Warning>, ValidationErrors> {
        let mut errors = Vec::new();
        let checks = [
            ("inventory", self.inventory.check()),
            ("rules", self.rules.check()),
        ];
        for (section, result) in checks {
            errors.extend(
                result
                    .err()
                    .into_iter()
                    .flat_map(|found| found.nested_in(section)),
            );
        }
        ok_unless_errors(self.inventory.warnings(), errors)
    }

    /// Looks up a group by name, in time linear in the number of groups.
    #[must_use]
    pub fn group(&self, group: &GroupId) -> Option<&Group> {
        self.inventory.groups.iter().find(|g| g.group == *group)
    }

    /// Looks up a service by name, in time linear in the number of services.
    #[must_use]
    pub fn service(&self, service: &dfs_ids::ServiceName) -> Option<&Service> {
        self.inventory
            .services
            .iter()
            .find(|s| s.service == *service)
    }
}
