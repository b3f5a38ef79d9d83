//! Whether the store answers.

use dfs_log::ConfigEvent;
use dfs_log::ErrorText;
use snafu::Error;

use super::Holder;

/// Says once when the store falls silent, and once when it answers again.
#[derive(Debug, Default)]
pub(super) struct StoreLink {
    is_lost: bool,
}

impl StoreLink {
    /// The store has answered: the version held is the latest.
    pub fn answered(&mut self, holder: &Holder) {
        if std::mem::take(&mut self.is_lost) {
            let outage_ms = holder.age_ms().unwrap_or_default();
            dfs_log::emit(ConfigEvent::StoreReachable { outage_ms });
        }
        holder.confirm();
    }

    /// The store has not answered as it should.
    pub fn failed(&mut self, holder: &Holder, error: &dyn Error) {
        if !std::mem::replace(&mut self.is_lost, true) {
            dfs_log::emit(ConfigEvent::StoreUnreachable {
                silent_ms: holder.age_ms().unwrap_or_default(),
                version: holder.held().map(|config| config.version),
                error: ErrorText::new(error),
            });
        }
    }
}
