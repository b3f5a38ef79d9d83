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
    /// All of it.
    Whole(Config),
    /// What has changed since a version that the receiver is known to hold.
    Diff(ConfigDiff),
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
    pub fn is_news(&self, version: ConfigVersion) -> bool {
        self.version().is_none_or(|held| version > held)
    }

    /// Adopts a configuration if its version is higher.
    pub fn offer(&mut self, config: Config) -> Adoption {
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
    pub fn offer_update(&mut self, update: ConfigUpdate) -> Result<Adoption, DiffError> {
        match update {
            ConfigUpdate::Whole(config) => Ok(self.offer(config)),
            ConfigUpdate::Diff(diff) => self.offer_diff(&diff),
        }
    }

    fn offer_diff(&mut self, diff: &ConfigDiff) -> Result<Adoption, DiffError> {
        let Some(held) = &self.held else {
            return Err(DiffError::NothingHeld { base: diff.base });
        };
        if diff.version <= held.version {
            return Ok(Adoption::NotNewer { held: held.version });
        }
        let config = diff.apply(held)?;
        Ok(self.offer(config))
    }
}
