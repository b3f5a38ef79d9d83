//! Diffs between two versions of the configuration.

mod section;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

pub use section::Insertion;
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

/// The changes from one version to a later one.
///
/// Sections that are equal in both versions are left out of the JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDiff {
    /// Version to which the diff can be applied.
    pub base: ConfigVersion,
    /// Version that results from applying it.
    pub version: ConfigVersion,
    /// The new list of failure domains, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domains: Option<Vec<FailureDomain>>,
    /// The new list of operators, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<Vec<Operator>>,
    /// Changed services.
    #[serde(default, skip_serializing_if = "SectionDiff::is_unchanged")]
    pub services: SectionDiff<Service>,
    /// Changed groups.
    #[serde(default, skip_serializing_if = "SectionDiff::is_unchanged")]
    pub groups: SectionDiff<Group>,
    /// Changed queues.
    #[serde(default, skip_serializing_if = "SectionDiff::is_unchanged")]
    pub queues: SectionDiff<Queue>,
    /// Changed targets.
    #[serde(default, skip_serializing_if = "SectionDiff::is_unchanged")]
    pub targets: SectionDiff<Target>,
    /// The new rules, if any has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Rules>,
}

/// Why a diff cannot be applied. In either case the full configuration is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum DiffError {
    /// The diff is based on another version than the one held.
    #[snafu(display("the difference is based on version {base}, but version {held} is held"))]
    WrongBase {
        /// Version that the diff is based on.
        base: ConfigVersion,
        /// Version that is held.
        held: ConfigVersion,
    },
    /// No configuration is held yet.
    #[snafu(display("the difference is based on version {base}, but none is held"))]
    NothingHeld {
        /// Version that the diff is based on.
        base: ConfigVersion,
    },
}

impl ConfigDiff {
    /// Computes the changes from `old` to `new`.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        let from = &old.inventory;
        let to = &new.inventory;
        Self {
            base: old.version,
            version: new.version,
            domains: if_changed(&from.domains, &to.domains),
            operators: if_changed(&from.operators, &to.operators),
            services: SectionDiff::between(&from.services, &to.services),
            groups: SectionDiff::between(&from.groups, &to.groups),
            queues: SectionDiff::between(&from.queues, &to.queues),
            targets: SectionDiff::between(&from.targets, &to.targets),
            rules: if_changed(&old.rules, &new.rules),
        }
    }

    /// Applies the changes to `old` and returns the later version.
    ///
    /// # Errors
    ///
    /// Returns [`DiffError::WrongBase`] if `old` is not the version that the diff is based
    /// on.
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

fn if_changed<T: Clone + PartialEq>(old: &T, new: &T) -> Option<T> {
    (old != new).then(|| new.clone())
}
