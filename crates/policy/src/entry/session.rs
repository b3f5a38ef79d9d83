//! Sessions with agents: attaching, lost connections, lease expiry, and sending messages.

use std::collections::BTreeMap;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::LeaseSettings;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Evacuations;
use dfs_wire::session::LoadHint;
use dfs_wire::session::SessionParams;
use dfs_wire::session::TargetState;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::orphan::LOST_CAUSE;
use super::orphan::Orphan;
use super::orphan::OrphanKey;
use super::orphan::is_later;
use super::view::AgentView;
use crate::ConnectionId;

/// Size of one lease renewal without content and its reply, including TCP and IP headers.
const RENEWAL_BYTES: u64 = 360;
/// Bandwidth limit of one entry for the renewals of all idle sessions.
const RENEWAL_BYTES_PER_S: u64 = 2_048;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Mean time between renewals as a fraction of the interval: agents renew after half to all of it.
const MEAN_INTERVAL_FRACTION: (u64, u64) = (3, 4);

impl Entry {
    pub(super) fn on_attach(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        attach: Attach,
        out: &mut Vec<EntryAction>,
    ) {
        let known = self.agents.get(&attach.agent);
        let known = known.map(|old| (old.incarnation, old.takeover));
        if let Some((incarnation, takeover)) = known
            && incarnation != attach.incarnation
        {
            if is_later(takeover, attach.takeover) {
                // The attach was held up: its agent has been replaced since.
                out.push(EntryAction::Close { connection });
                return;
            }
            self.remove_lost_agent(now, &attach.agent, out);
        }
        self.settle_orphans_of_earlier(&attach.agent, attach.takeover, out);
        let orphans = self.take_orphans_of(&attach.agent, attach.incarnation);
        let is_known = known.is_some_and(|(incarnation, _)| incarnation == attach.incarnation);
        let resumed = is_known || !orphans.is_empty();
        self.close_connection(&attach.agent, out);
        self.next_session = self.next_session.next();
        let open = self.session_params(resumed);
        let agent = attach.agent.clone();
        self.replace_view(now, connection, attach, open.idle_renew_ms);
        if let Some(view) = self.agents.get_mut(&agent) {
            for (task, outstanding) in orphans {
                view.add_outstanding(task, outstanding);
            }
        }
        self.connections.insert(connection, agent);
        let mut items = vec![EntryItem::Open(open)];
        items.extend(self.take_evacuations_for(connection));
        let given_up = self.crashes.given_up();
        if !given_up.is_empty() {
            items.push(EntryItem::GivenUp(given_up));
        }
        self.send_items(connection, items, out);
    }

    fn session_params(&self, resumed: bool) -> SessionParams {
        let identity = &self.identity;
        SessionParams {
            entry: identity.entry.clone(),
            incarnation: identity.incarnation,
            domain: identity.domain.clone(),
            resumed,
            lease_ms: identity.lease.lease_ms,
            busy_renew_ms: identity.lease.busy_renew_ms,
            idle_renew_ms: self.idle_renew_ms(),
            version: self.config.as_ref().map(|config| config.version),
        }
    }

    /// Renewal interval of idle sessions at which all sessions together keep to the bandwidth limit.
    ///
    /// A session keeps the interval with which it was opened. The first sessions after a restart must
    /// therefore account for those still to come, which are at most one for each target of the inventory.
    fn idle_renew_ms(&self) -> Millis {
        let open = self.connections.len() as u64 + 1;
        let targets = |config: &Arc<Config>| config.inventory.targets.len() as u64;
        let sessions = open.max(self.config.as_ref().map_or(0, targets));
        let (numerator, denominator) = MEAN_INTERVAL_FRACTION;
        let bytes = sessions * RENEWAL_BYTES * denominator / numerator;
        let interval_ms = bytes * MILLIS_PER_SECOND / RENEWAL_BYTES_PER_S;
        self.identity
            .lease
            .idle_renew_ms
            .max(Millis::new(interval_ms))
    }

    fn replace_view(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        attach: Attach,
        idle_renew_ms: Millis,
    ) {
        let old = self.agents.remove(&attach.agent);
        // The last known target state holds until the agent reports another.
        let own_release_rate = old.as_ref().map_or(0.0, |old| old.own_release_rate);
        let (outstanding, own_load, target, last_offer) = match old {
            Some(old) => (old.outstanding, old.own_load, old.target, old.last_offer),
            None => (BTreeMap::new(), 0.0, TargetState::Absent, None),
        };
        let is_evacuated = self.evacuations.contains(&attach.domain);
        let view = AgentView {
            incarnation: attach.incarnation,
            takeover: attach.takeover,
            domain: attach.domain,
            connection: Some(connection),
            session: self.next_session,
            is_session_open: false,
            next_seq: 0,
            last_heard_at: now,
            idle_renew_ms,
            target,
            last_offer,
            is_evacuated,
            speed_class: self.speed_class(&attach.agent),
            known_evacuations: Evacuations::default(),
            told_evacuations_known_at: None,
            target_seq: 0,
            hint: LoadHint::default(),
            hint_seq: 0,
            hint_received_at: now,
            own_load_in_hint: 0.0,
            outstanding,
            own_load,
            own_release_rate,
            config_version: None,
            config_version_seq: 0,
            is_config_client: false,
            config_offered_at: None,
            version_asked_at: None,
            config_requested_at: None,
            probed_at: None,
            sent_hint_interval_ms: None,
            sent_typical_revision: 0,
        };
        let id = attach.agent.clone();
        if self.agents.insert(attach.agent, view).is_none() && !self.agent_ids.contains(&id) {
            self.agent_ids.push(id);
        }
    }

    fn close_connection(&mut self, agent: &AgentId, out: &mut Vec<EntryAction>) {
        let old = self
            .agents
            .get_mut(agent)
            .and_then(|view| view.connection.take());
        if let Some(connection) = old {
            self.connections.remove(&connection);
            out.push(EntryAction::Close { connection });
        }
    }

    /// Keeps the outstanding tasks: a lost connection does not show whether they run.
    pub(super) fn on_connection_lost(&mut self, connection: ConnectionId) {
        let Some(agent) = self.connections.remove(&connection) else {
            return;
        };
        if let Some(view) = self.agents.get_mut(&agent) {
            view.connection = None;
            view.is_session_open = false;
        }
    }

    /// Removes agents whose lease has expired. An agent that holds no tasks and has a session may be silent
    /// for its idle renewal interval before the lease time starts.
    pub(super) fn expire_leases(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let lease_ms = self.identity.lease.lease_ms;
        let is_expired = |view: &AgentView| {
            let is_idle = view.outstanding.is_empty() && view.connection.is_some();
            let limit = if is_idle {
                view.idle_renew_ms + lease_ms
            } else {
                lease_ms
            };
            now >= view.last_heard_at + limit
        };
        let expired: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, view)| is_expired(view))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in expired {
            self.remove_lost_agent(now, &agent, out);
        }
        self.settle_expired_orphans(now, out);
    }

    /// Removes an agent incarnation. Its outstanding tasks have an unknown outcome; a repeatable one is
    /// retried only after the settle time, when its run on the lost agent has certainly ended. The settle time begins
    /// when the agent's lease is over, also if its session is displaced before.
    fn remove_lost_agent(&mut self, now: Moment, agent: &AgentId, out: &mut Vec<EntryAction>) {
        self.close_connection(agent, out);
        self.agent_ids.retain(|id| id != agent);
        self.ejection.remove(agent);
        self.speeds.remove(agent);
        self.returning.remove(agent);
        self.remove_labels(agent);
        let Some(view) = self.agents.remove(agent) else {
            return;
        };
        self.update_containment();
        let outstanding_tasks = view.outstanding.len() as u64;
        let lost = Observation::AgentLost {
            agent: agent.clone(),
            outstanding_tasks,
        };
        out.push(EntryAction::Observe(lost));
        let LeaseSettings {
            lease_ms,
            settle_ms,
            ..
        } = self.identity.lease;
        let settled_at = now.max(view.last_heard_at + lease_ms) + settle_ms;
        let (incarnation, takeover) = (view.incarnation, view.takeover);
        for (task, outstanding) in view.outstanding {
            let job = self.jobs.get(&task.submission);
            if settle_ms == Millis::default() || !job.is_some_and(|job| job.terms.repeatable) {
                self.on_unknown(agent, &task, LOST_CAUSE, out);
                continue;
            }
            let key = OrphanKey {
                settled_at,
                agent: agent.clone(),
                task,
            };
            let orphan = Orphan::Lost {
                incarnation,
                takeover,
                outstanding,
            };
            self.orphans.insert(key, orphan);
        }
    }

    /// Sends the new addresses only to agents that fetch their configuration here, so that each agent gets
    /// them from one entry only.
    pub(super) fn on_entries_changed(
        &mut self,
        addresses: &[EntryAddress],
        out: &mut Vec<EntryAction>,
    ) {
        if addresses == self.known_entries {
            return;
        }
        self.known_entries = addresses.to_vec();
        let recipients: Vec<_> = self
            .agents
            .values()
            .filter(|view| view.is_config_client)
            .filter_map(|view| view.connection)
            .collect();
        for connection in recipients {
            self.send_items(
                connection,
                vec![EntryItem::Entries(addresses.to_vec())],
                out,
            );
        }
    }

    pub(super) fn send_items(
        &mut self,
        connection: ConnectionId,
        items: Vec<EntryItem>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(agent) = self.connections.get(&connection) else {
            return;
        };
        let Some(view) = self.agents.get_mut(agent) else {
            return;
        };
        let seq = view.next_seq;
        view.next_seq += 1;
        self.totals.messages += 1;
        let message = EntryMessage {
            session: view.session,
            seq,
            items,
        };
        out.push(EntryAction::Send {
            connection,
            message,
        });
    }
}
