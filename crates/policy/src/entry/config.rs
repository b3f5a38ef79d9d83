//! Adopting new configurations and distributing them to agents.

use std::cmp::Reverse;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;

use super::Entry;
use super::EntryAction;
use super::view::AgentView;
use crate::ConnectionId;

/// Limit on how often the number of agents that are asked at a time doubles. Each answer is a whole configuration.
const MAX_REQUEST_DOUBLINGS: u32 = 4;

impl Entry {
    /// Adopts the configuration if its version is higher, and offers it to the agents that fetch it here.
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
            let have = view.config_version.unwrap_or_default();
            if let Some(connection) = view.connection
                && view.is_config_client
                && have < config.version
            {
                out.push(EntryAction::OfferConfig { connection, have });
            }
        }
        let startup_ms = self.identity.lease.startup_ms;
        self.starting_until.get_or_insert(now + startup_ms);
        self.config = Some(config);
        self.config_stale_since = None;
        self.unanswered_config_requests = 0;
        self.config_adopted_at = now;
        self.update_containment();
    }

    /// Whether the entry has started so recently that agents may still have to connect. Until then it doesn't
    /// know what is free, so it queues submissions that it would refuse later.
    pub(super) fn is_starting(&self, now: Moment) -> bool {
        self.starting_until.is_some_and(|until| now < until)
    }

    /// Offers the active configuration to agents that have not received it from their configuration
    /// source; that entry may itself be waiting for it from its agents.
    pub(super) fn offer_config_to_lagging_agents(
        &mut self,
        now: Moment,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(version) = self.config.as_ref().map(|config| config.version) else {
            return;
        };
        if now < self.config_adopted_at + self.identity.propagation_ms {
            return;
        }
        for view in self.agents.values_mut() {
            let Some(have) = view.config_version.filter(|have| *have < version) else {
                continue;
            };
            let was_offered = view.offered_version.replace(version) == Some(version);
            if let Some(connection) = view
                .connection
                .filter(|_| view.is_session_open && !was_offered)
            {
                out.push(EntryAction::OfferConfig { connection, have });
            }
        }
    }

    /// Requests a higher version from agents if the table service has not delivered it in time, or at
    /// once while the entry has no configuration.
    ///
    /// Asks one agent at first and twice as many after each
    /// [`propagation_ms`](super::Identity::propagation_ms) without a new version, since an agent that has stopped answering
    /// keeps its session for a renewal interval. Those that were not asked for the longest time come first.
    pub(super) fn request_newer_config(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let own = self.config.as_ref().map(|config| config.version);
        let held = own.unwrap_or_default();
        let is_newer = |view: &&mut AgentView| {
            view.is_session_open && view.config_version.unwrap_or_default() > held
        };
        let newer = self.agents.values_mut().filter(is_newer);
        let mut holders: Vec<_> = newer
            .filter_map(|view| Some((view.connection?, view)))
            .collect();
        if holders.is_empty() {
            self.config_stale_since = None;
            self.unanswered_config_requests = 0;
            return;
        }
        let config_stale_since = *self.config_stale_since.get_or_insert(now);
        let grace_ms = if own.is_some() {
            self.identity.propagation_ms
        } else {
            Millis::default()
        };
        let requested_recently = self
            .config_requested_at
            .is_some_and(|at| now < at + self.identity.propagation_ms);
        if now < config_stale_since + grace_ms || requested_recently {
            return;
        }
        self.config_requested_at = Some(now);
        holders.sort_by_key(|(_, view)| (view.config_requested_at, Reverse(view.config_version)));
        holders.truncate(1 << self.unanswered_config_requests);
        self.unanswered_config_requests =
            (self.unanswered_config_requests + 1).min(MAX_REQUEST_DOUBLINGS);
        let ask = |(connection, view): (ConnectionId, &mut AgentView)| {
            view.config_requested_at = Some(now);
            connection
        };
        let connections: Vec<_> = holders.into_iter().map(ask).collect();
        for connection in connections {
            self.send_items(connection, vec![EntryItem::WantConfig], out);
        }
    }
}
