//! Whether the store is reachable.

use dfs_log::ConfigEvent;
use dfs_log::ErrorText;
use snafu::Error;

use super::ActiveConfig;

/// Logs one event when the store stops answering and one when it answers again.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_unreachable: bool,
}

impl StoreHealth {
    /// Records a successful read, which confirms that the active version is the latest.
    pub fn record_success(&mut self, active_config: &ActiveConfig) {
        if std::mem::take(&mut self.is_unreachable) {
            let outage_ms = active_config.age_ms().unwrap_or_default();
            dfs_log::emit(ConfigEvent::StoreReachable { outage_ms });
        }
        active_config.mark_confirmed();
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, active_config: &ActiveConfig, error: &dyn Error) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            dfs_log::emit(ConfigEvent::StoreUnreachable {
                silent_ms: active_config.age_ms().unwrap_or_default(),
                version: active_config.current().map(|config| config.version),
                error: ErrorText::new(error),
            });
        }
    }
}
