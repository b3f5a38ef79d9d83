//! The configuration that the agent holds, so that a replaced entry can get it from here.

use std::sync::Arc;

use dfs_conf::Adoption;
use dfs_conf::Config;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_ids::FailureDomain;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

/// The version that the agent holds, which is only ever replaced by a higher one.
#[derive(Debug)]
pub(crate) struct HeldConfig {
    domain: FailureDomain,
    holder: ConfigHolder,
}

impl HeldConfig {
    pub fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            holder: ConfigHolder::default(),
        }
    }

    /// Adopts the version of an update if it is higher, and returns the new configuration.
    ///
    /// A diff from another version than the held one is dropped: the entry learns the held version
    /// from the agent's next report, and then sends the right update.
    pub fn adopt(&mut self, body: &RawValue) -> Option<Arc<Config>> {
        let update: ConfigUpdate = serde_json::from_str(body.get()).ok()?;
        let Ok(Adoption::Adopted(version)) = self.holder.apply_update(update) else {
            return None;
        };
        let domain = self.domain.clone();
        let source = ConfigSource::Session;
        dfs_log::emit(ConfigEvent::Adopted {
            version,
            domain,
            source,
        });
        self.holder.current().cloned()
    }

    /// Serializes the full held configuration as an update.
    pub fn full_update(&self) -> Option<Box<RawValue>> {
        let config = Config::clone(self.holder.current()?);
        to_raw_value(&ConfigUpdate::Full(Box::new(config))).ok()
    }
}
