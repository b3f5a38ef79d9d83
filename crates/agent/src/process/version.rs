//! The configuration that the agent holds whole, to pass it on to a replaced entry.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::FailureDomain;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

/// The version held; it only ever moves to a higher one.
#[derive(Debug)]
pub(crate) struct Versions {
    domain: FailureDomain,
    held: Option<Arc<Config>>,
}

impl Versions {
    pub fn new(domain: FailureDomain) -> Self {
        Self { domain, held: None }
    }

    /// Adopts a higher version; none if the message brings none.
    pub fn adopt(&mut self, body: &RawValue) -> Option<Arc<Config>> {
        let config: Config = serde_json::from_str(body.get()).ok()?;
        if self
            .held
            .as_ref()
            .is_some_and(|held| config.version <= held.version)
        {
            return None;
        }
        let (version, domain) = (config.version, self.domain.clone());
        dfs_log::emit(ConfigEvent::Adopted {
            version,
            domain,
            source: ConfigSource::Session,
        });
        let config = Arc::new(config);
        self.held = Some(Arc::clone(&config));
        Some(config)
    }

    /// The version held, as a message.
    pub fn whole(&self) -> Option<Box<RawValue>> {
        let held = self.held.as_deref()?;
        to_raw_value(held).ok()
    }
}
