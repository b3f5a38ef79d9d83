//! Adopting new configurations and distributing them to agents.

use std::cmp::Reverse;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;

use super::Entry;
use super::EntryAction;
use super::view::AgentView;
use crate::ConnectionId;

/// Limit on how often the number of agents that are asked at a time doubles. Each answer is a whole configuration.
const MAX_REQUEST_DOUBLINGS: u32 = 4;
/// Propagation times after which an agent that has not confirmed an offered version is offered the newest one whole.
const CONFIRMATION_PROPAGATIONS: u64 = 4;

impl Entry {
    /// Adopts the configuration if its version is higher.
    pub(super) fn on_configured(&mut self, now: Moment, config: Arc<Config>) {
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
        let startup_ms = self.identity.lease.startup_ms;
        self.starting_until.get_or_insert(now + startup_ms);
        self.adopted_versions.push_back((now, config.version));
        self.config = Some(config);
        self.config_stale_since = None;
        self.unanswered_config_requests = 0;
        self.update_containment();
    }

    /// Whether the entry has started so recently that agents may still have to connect. Until then it doesn't
    /// know what is free, so it queues submissions that it would refuse later.
    pub(super) fn is_starting(&self, now: Moment) -> bool {
        self.starting_until.is_some_and(|until| now < until)
    }

    /// Offers the active configuration to agents with an older version.
    ///
    /// An agent is offered no further version until it has confirmed one, and then the newest: what waits for it stays
    /// bounded, however fast versions follow each other. Agents with another configuration source are offered
    /// a version only if that entry has not delivered it; it may itself be waiting for it from its agents.
    pub(super) fn offer_config(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let Some(version) = self.config.as_ref().map(|config| config.version) else {
            return;
        };
        let delivered_version = self.delivered_version(now);
        let propagation_ms = self.identity.propagation_ms;
        let confirm_ms = Millis::new(propagation_ms.get() * CONFIRMATION_PROPAGATIONS);
        let mut probed = Vec::new();
        for view in self.agents.values_mut() {
            let Some(connection) = view.connection.filter(|_| view.is_session_open) else {
                continue;
            };
            let Some(have) = view.config_version.filter(|have| *have < version) else {
                continue;
            };
            let is_waiting = |at: Option<Moment>| at.is_some_and(|at| now < at + confirm_ms);
            if is_waiting(view.config_offered_at) {
                continue;
            }
            if !view.is_config_client {
                if have >= delivered_version {
                    continue;
                }
                // Without tasks the agent reports its version only when it renews its session.
                if now >= view.last_heard_at + propagation_ms {
                    if !is_waiting(view.version_asked_at) {
                        view.version_asked_at = Some(now);
                        probed.push(connection);
                    }
                    continue;
                }
            }
            // An agent that has not confirmed an update may be unable to apply it.
            let is_repeated = view.config_offered_at.replace(now).is_some();
            let have = if is_repeated {
                ConfigVersion::default()
            } else {
                have
            };
            out.push(EntryAction::OfferConfig { connection, have });
        }
        for connection in probed {
            self.send_items(connection, vec![EntryItem::Probe], out);
        }
    }

    /// The version that all agents should have received from their configuration source by now.
    fn delivered_version(&mut self, now: Moment) -> ConfigVersion {
        let propagation_ms = self.identity.propagation_ms;
        let is_due =
            |(adopted_at, _): &(Moment, ConfigVersion)| now >= *adopted_at + propagation_ms;
        while self.adopted_versions.get(1).is_some_and(is_due) {
            self.adopted_versions.pop_front();
        }
        let first = self.adopted_versions.front().filter(|first| is_due(first));
        first.map(|(_, version)| *version).unwrap_or_default()
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
