//! Adopting a configuration and passing it on.

use std::sync::Arc;

use dfs_conf::Config;

use super::Entry;
use super::EntryAction;

impl Entry {
    /// Adopts only a higher version.
    pub(super) fn on_configured(&mut self, config: Arc<Config>, out: &mut Vec<EntryAction>) {
        if self
            .config
            .as_ref()
            .is_some_and(|held| config.version <= held.version)
        {
            return;
        }
        let shares = config
            .inventory
            .groups
            .iter()
            .map(|g| (g.group.clone(), g.share));
        self.shares.set_shares(shares);
        for view in self.agents.values() {
            let have = view.version.unwrap_or_default();
            if let Some(connection) = view.connection
                && view.takes_config
                && have < config.version
            {
                out.push(EntryAction::OfferConfig { connection, have });
            }
        }
        self.config = Some(config);
    }
}
