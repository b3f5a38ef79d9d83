//! The configuration that a process holds.

use std::sync::Arc;

use dfs_ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::ConfigDiff;
use crate::DiffError;

/// A configuration on its way between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The complete configuration.
    #[serde(rename = "whole")]
    Full(Box<Config>),
    /// What has changed since a version that the receiver is known to hold; each difference is
    /// based on the version that the one before results in.
    Diffs(Vec<ConfigDiff>),
}

/// Whether an update was adopted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The update is now held.
    Adopted(ConfigVersion),
    /// The version held is as high or higher, and stays.
    NotNewer {
        /// Version held.
        held: ConfigVersion,
    },
}

/// Holds the highest version that it was ever given.
#[derive(Debug, Clone, Default)]
pub struct ConfigHolder {
    held: Option<Arc<Config>>,
}

impl ConfigHolder {
    /// The configuration in force, none before the first.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<Config>> {
        self.held.as_ref()
    }

    /// Its version, none before the first.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|config| config.version)
    }

    /// Whether a version is higher than the one held.
    #[must_use]
    pub fn is_newer(&self, version: ConfigVersion) -> bool {
        self.version().is_none_or(|held| version > held)
    }

    /// Adopts a configuration if its version is higher.
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

    /// Adopts an update if its version is higher.
    ///
    /// # Errors
    ///
    /// A difference is newer but based on another version than the one held.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<Adoption, DiffError> {
        match update {
            ConfigUpdate::Full(config) => Ok(self.adopt_if_newer(*config)),
            ConfigUpdate::Diffs(diffs) => self.apply_diffs(&diffs),
        }
    }

    /// Differences to versions that are held already are passed over.
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
