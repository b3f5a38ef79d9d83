//! The version of the configuration that a process holds, and updates to it.

use std::sync::Arc;

use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::ConfigDiff;
use crate::DiffError;

/// An update of the configuration as sent between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The complete configuration.
    #[serde(rename = "whole")]
    Full(Box<Config>),
    /// The changes since a version that the receiver is known to hold. Each diff is based on
    /// the version that the previous one results in.
    Diffs(Vec<ConfigDiff>),
}

/// Whether an update replaced the configuration held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The configuration of this version is now held.
    Adopted(ConfigVersion),
    /// Nothing has changed, as the version held is the same or higher.
    NotNewer {
        /// Version that is still held.
        held: ConfigVersion,
    },
}

/// Holds the highest version received so far, so that updates may arrive late or repeatedly.
#[derive(Debug, Clone, Default)]
pub struct ConfigHolder {
    held: Option<Arc<Config>>,
}

impl ConfigHolder {
    /// The configuration held; `None` until the first one is adopted.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<Config>> {
        self.held.as_ref()
    }

    /// The version held; `None` until the first one is adopted.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|config| config.version)
    }

    /// Whether a version is higher than the one held, or none is held.
    #[must_use]
    pub fn is_newer(&self, version: ConfigVersion) -> bool {
        self.version().is_none_or(|held| version > held)
    }

    /// Replaces the configuration held if the version of the given one is higher.
    pub fn adopt_if_newer(&mut self, config: Config) -> Adoption {
        match self.version() {
            Some(held) if config.version <= held => Adoption::NotNewer { held },
            _ => {
                let version = config.version;
                self.held = Some(Arc::new(config));
                Adoption::Adopted(version)
            }
        }
    }

    /// Replaces the configuration held if the update leads to a higher version.
    ///
    /// # Errors
    ///
    /// The update consists of diffs, and none is held or one of the newer diffs is
    /// based on another version.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<Adoption, DiffError> {
        match update {
            ConfigUpdate::Full(config) => Ok(self.adopt_if_newer(*config)),
            ConfigUpdate::Diffs(diffs) => self.apply_diffs(&diffs),
        }
    }

    /// Skips diffs that lead to the version held or to an older one.
    fn apply_diffs(&mut self, diffs: &[ConfigDiff]) -> Result<Adoption, DiffError> {
        let Some(held) = &self.held else {
            let base = diffs.first().map(|diff| diff.base).unwrap_or_default();
            return Err(DiffError::NothingHeld { base });
        };
        let held_version = held.version;
        let mut config = Config::clone(held);
        for diff in diffs.iter().filter(|diff| diff.version > held_version) {
            config = diff.apply(&config)?;
        }
        Ok(self.adopt_if_newer(config))
    }
}
