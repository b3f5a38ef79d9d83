//! Adopting a configuration and passing it on.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;

use super::Entry;
use super::EntryAction;
use super::view::AgentView;

/// Time in which the table service is expected to give an entry a version that an agent holds already, and
/// in which agents are expected to have a version from the entry of their choice.
const PATIENCE_MS: Millis = Millis::new(1_000);

impl Entry {
    /// Adopts only a higher version.
    pub(super) fn on_configured(
        &mut self,
        now: Moment,
        config: Arc<Config>,
        out: &mut Vec<EntryAction>,
    ) {
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
        self.behind_since = None;
        self.configured_at = now;
    }

    /// Gives the version in force to agents that have not got it from the entry of their choice, which
    /// may itself be waiting for it from them.
    pub(super) fn offer_late(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let Some(version) = self.config.as_ref().map(|config| config.version) else {
            return;
        };
        if now < self.configured_at + PATIENCE_MS {
            return;
        }
        for view in self.agents.values_mut() {
            let Some(have) = view.version.filter(|have| *have < version) else {
                continue;
            };
            let is_offered = view.offered.replace(version) == Some(version);
            if let Some(connection) = view.connection.filter(|_| view.is_open && !is_offered) {
                out.push(EntryAction::OfferConfig { connection, have });
            }
        }
    }

    /// Asks one agent at a time for a version that the table service has not given in time.
    pub(super) fn ask_config(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let own = self.config.as_ref().map(|config| config.version);
        let held = own.unwrap_or_default();
        let newer = |view: &&AgentView| view.is_open && view.version.unwrap_or_default() > held;
        let newest = self.agents.values().filter(newer).max_by_key(|v| v.version);
        let Some(connection) = newest.and_then(|view| view.connection) else {
            self.behind_since = None;
            return;
        };
        let behind_since = *self.behind_since.get_or_insert(now);
        let patience_ms = if own.is_some() {
            PATIENCE_MS
        } else {
            Millis::default()
        };
        let asked_lately = self.asked_at.is_some_and(|at| now < at + PATIENCE_MS);
        if now >= behind_since + patience_ms && !asked_lately {
            self.asked_at = Some(now);
            self.send_to(connection, vec![EntryItem::WantConfig], out);
        }
    }
}
