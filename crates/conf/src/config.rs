//! One version of the configuration.

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use serde::Deserialize;
use serde::Serialize;

use crate::Group;
use crate::Inventory;
use crate::Rules;
use crate::Service;

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
