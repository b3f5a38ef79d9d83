//! Sessions: attaching, losing, lapsing, and numbering messages.

use std::collections::BTreeMap;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::EntryItem;
use dfs_wire::session::LoadHint;
use dfs_wire::session::Open;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::session::ToAgent;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::view::AgentView;
use crate::ConnectionId;

/// Bytes of one bare renewal with its reply, framing of TCP and IP included.
const RENEWAL_BYTES: u64 = 360;
/// Bytes a second that the renewals of idle sessions may take at one entry.
const RENEWAL_BYTES_PER_S: u64 = 2_048;
const LOST_AGENT: &str = "the agent was lost";
const MILLIS_PER_SECOND: u64 = 1_000;
/// Agents renew after half to all of the interval, so after three quarters of it on average.
const MEAN_OF_INTERVAL: (u64, u64) = (3, 4);

impl Entry {
    pub(super) fn on_attach(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        attach: Attach,
        out: &mut Vec<EntryAction>,
    ) {
        let replaced = self.agents.get(&attach.agent).map(|old| old.incarnation);
        let resumed = replaced == Some(attach.incarnation);
        if replaced.is_some() && !resumed {
            self.lose_agent(now, &attach.agent, out);
        }
        if !resumed {
            // A new life of the agent has ended the runs of the one before.
            self.settle_lost(&attach.agent, out);
        }
        self.close_connection(&attach.agent, out);
        self.next_session = self.next_session.next();
        let open = self.terms(resumed);
        let agent = attach.agent.clone();
        self.renew_view(now, connection, attach, open.idle_renew_ms);
        self.connections.insert(connection, agent);
        self.send_to(connection, vec![EntryItem::Open(open)], out);
    }

    fn terms(&self, resumed: bool) -> Open {
        let identity = &self.identity;
        Open {
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

    /// Interval of idle renewals at which all sessions together keep to their share of the bytes.
    ///
    /// A session keeps the interval with which it was opened, so the first ones after a restart have
    /// to count those that are still to come: at most one for each target of the inventory.
    fn idle_renew_ms(&self) -> Millis {
        let open = self.connections.len() as u64 + 1;
        let targets = |config: &Arc<Config>| config.inventory.targets.len() as u64;
        let sessions = open.max(self.config.as_ref().map_or(0, targets));
        let (part, whole) = MEAN_OF_INTERVAL;
        let bytes = sessions * RENEWAL_BYTES * whole / part;
        let interval = bytes * MILLIS_PER_SECOND / RENEWAL_BYTES_PER_S;
        self.identity.lease.idle_renew_ms.max(Millis::new(interval))
    }

    fn renew_view(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        attach: Attach,
        idle_renew_ms: Millis,
    ) {
        let old = self.agents.remove(&attach.agent);
        // Until the agent reports, the target is taken to be as it was.
        let (outstanding, own_load, target) = match old {
            Some(old) => (old.outstanding, old.own_load, old.target),
            None => (BTreeMap::new(), 0.0, TargetState::Absent),
        };
        let view = AgentView {
            incarnation: attach.incarnation,
            domain: attach.domain,
            connection: Some(connection),
            session: self.next_session,
            is_open: false,
            next_message: 0,
            heard_at: now,
            idle_renew_ms,
            target,
            target_seq: 0,
            hint: LoadHint::default(),
            hint_seq: 0,
            hint_at: now,
            load_at_hint: 0.0,
            outstanding,
            own_load,
            version: None,
            version_seq: 0,
            takes_config: false,
            offered: None,
            probed_at: None,
            told_hint_ms: None,
        };
        let name = attach.agent.clone();
        if self.agents.insert(attach.agent, view).is_none() && !self.roster.contains(&name) {
            self.roster.push(name);
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

    /// Keeps what is outstanding: a broken connection proves nothing about it.
    pub(super) fn on_lost(&mut self, connection: ConnectionId) {
        let Some(agent) = self.connections.remove(&connection) else {
            return;
        };
        if let Some(view) = self.agents.get_mut(&agent) {
            view.connection = None;
            view.is_open = false;
        }
    }

    /// Settles agents that were silent past their lease while they held tasks or had no session.
    pub(super) fn expire_leases(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let lease_ms = self.identity.lease.lease_ms;
        let lapsed = |view: &AgentView| {
            let is_idle = view.outstanding.is_empty() && view.connection.is_some();
            let limit = if is_idle {
                view.idle_renew_ms + lease_ms
            } else {
                lease_ms
            };
            now >= view.heard_at + limit
        };
        let lapsed: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, view)| lapsed(view))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in lapsed {
            self.lose_agent(now, &agent, out);
        }
        self.settle_overdue(now, out);
    }

    /// Removes an agent incarnation; what it held has an unknown outcome from now on. A repeatable
    /// task is not placed anew before its runs have certainly ended.
    fn lose_agent(&mut self, now: Moment, agent: &AgentId, out: &mut Vec<EntryAction>) {
        self.close_connection(agent, out);
        self.roster.retain(|name| name != agent);
        self.ejection.remove(agent);
        self.speeds.remove(agent);
        let Some(view) = self.agents.remove(agent) else {
            return;
        };
        let outstanding_tasks = view.outstanding.len() as u64;
        let lost = Observation::AgentLost {
            agent: agent.clone(),
            outstanding_tasks,
        };
        out.push(EntryAction::Observe(lost));
        let settled_at = now + self.identity.lease.settle_ms;
        for (task, _) in view.outstanding {
            let job = self.jobs.get(&task.submission);
            if settled_at > now && job.is_some_and(|job| job.terms.repeatable) {
                self.unsettled.insert((settled_at, agent.clone(), task));
            } else {
                self.on_unknown(agent, &task, LOST_AGENT, out);
            }
        }
    }

    /// Settles the tasks of lost agents whose runs have ended by now.
    fn settle_overdue(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        while let Some((at, agent, task)) = self.unsettled.first().cloned()
            && at <= now
        {
            self.unsettled.pop_first();
            self.on_unknown(&agent, &task, LOST_AGENT, out);
        }
    }

    /// Settles the tasks of an agent that was lost, all of whose runs have ended.
    fn settle_lost(&mut self, agent: &AgentId, out: &mut Vec<EntryAction>) {
        let of_agent = |entry: &(Moment, AgentId, TaskRef)| entry.1 == *agent;
        let settled: Vec<_> = self.unsettled.extract_if(.., of_agent).collect();
        for (_, agent, task) in settled {
            self.on_unknown(&agent, &task, LOST_AGENT, out);
        }
    }

    /// Tells only agents that take their configuration here, so that each is told once.
    pub(super) fn on_entries(&mut self, entries: &[EntryAddress], out: &mut Vec<EntryAction>) {
        if entries == self.entries {
            return;
        }
        self.entries = entries.to_vec();
        let told: Vec<_> = self
            .agents
            .values()
            .filter(|view| view.takes_config)
            .filter_map(|view| view.connection)
            .collect();
        for connection in told {
            self.send_to(connection, vec![EntryItem::Entries(entries.to_vec())], out);
        }
    }

    pub(super) fn send_to(
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
        let seq = view.next_message;
        view.next_message += 1;
        self.totals.messages += 1;
        let message = ToAgent {
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
