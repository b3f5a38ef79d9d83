//! Differences between two versions of the configuration.

mod section;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

pub use section::Keyed;
pub use section::SectionDiff;

use crate::Config;
use crate::Group;
use crate::Inventory;
use crate::Operator;
use crate::Queue;
use crate::Rules;
use crate::Service;
use crate::Target;

/// What turns one version into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDiff {
    /// Version that it applies to.
    pub base: ConfigVersion,
    /// Version that results.
    pub version: ConfigVersion,
    /// All failure domains, if they differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domains: Option<Vec<FailureDomain>>,
    /// All operators, if they differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<Vec<Operator>>,
    /// Services that differ.
    #[serde(default, skip_serializing_if = "SectionDiff::is_same")]
    pub services: SectionDiff<Service>,
    /// Groups that differ.
    #[serde(default, skip_serializing_if = "SectionDiff::is_same")]
    pub groups: SectionDiff<Group>,
    /// Queues that differ.
    #[serde(default, skip_serializing_if = "SectionDiff::is_same")]
    pub queues: SectionDiff<Queue>,
    /// Targets that differ.
    #[serde(default, skip_serializing_if = "SectionDiff::is_same")]
    pub targets: SectionDiff<Target>,
    /// All rules, if they differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Rules>,
}

/// Why a difference does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum DiffError {
    /// It belongs to another version; the whole configuration is needed.
    #[snafu(display("the difference is based on version {base}, but version {held} is held"))]
    WrongBase {
        /// Version that it applies to.
        base: ConfigVersion,
        /// Version that it was applied to.
        held: ConfigVersion,
    },
    /// There is nothing to apply it to; the whole configuration is needed.
    #[snafu(display("the difference is based on version {base}, but none is held"))]
    NothingHeld {
        /// Version that it applies to.
        base: ConfigVersion,
    },
}

impl ConfigDiff {
    /// The difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        let from = &old.inventory;
        let to = &new.inventory;
        Self {
            base: old.version,
            version: new.version,
            domains: changed(&from.domains, &to.domains),
            operators: changed(&from.operators, &to.operators),
            services: SectionDiff::between(&from.services, &to.services),
            groups: SectionDiff::between(&from.groups, &to.groups),
            queues: SectionDiff::between(&from.queues, &to.queues),
            targets: SectionDiff::between(&from.targets, &to.targets),
            rules: changed(&old.rules, &new.rules),
        }
    }

    /// The later version.
    ///
    /// # Errors
    ///
    /// `old` is not the version that the difference is based on.
    pub fn apply(&self, old: &Config) -> Result<Config, DiffError> {
        if old.version != self.base {
            return Err(DiffError::WrongBase {
                base: self.base,
                held: old.version,
            });
        }
        let from = &old.inventory;
        let inventory = Inventory {
            domains: self.domains.clone().unwrap_or_else(|| from.domains.clone()),
            operators: self
                .operators
                .clone()
                .unwrap_or_else(|| from.operators.clone()),
            services: self.services.apply(&from.services),
            groups: self.groups.apply(&from.groups),
            queues: self.queues.apply(&from.queues),
            targets: self.targets.apply(&from.targets),
        };
        Ok(Config {
            version: self.version,
            inventory,
            rules: self.rules.clone().unwrap_or_else(|| old.rules.clone()),
        })
    }
}

fn changed<T: Clone + PartialEq>(old: &T, new: &T) -> Option<T> {
    (old != new).then(|| new.clone())
}
