//! The configuration that the agent holds whole, to pass it on to a replaced entry.

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

/// The version held; it only ever moves to a higher one.
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

    /// Adopts a higher version; none if the message brings none.
    ///
    /// A difference to another version than the one held is dropped: the entry learns from the
    /// agent's next report which version it holds, and sends the right one.
    pub fn adopt(&mut self, body: &RawValue) -> Option<Arc<Config>> {
        let update: ConfigUpdate = serde_json::from_str(body.get()).ok()?;
        let Ok(Adoption::Adopted(version)) = self.holder.offer_update(update) else {
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

    /// The version held, as a message.
    pub fn whole_update(&self) -> Option<Box<RawValue>> {
        let held = Config::clone(self.holder.current()?);
        to_raw_value(&ConfigUpdate::Whole(Box::new(held))).ok()
    }
}
