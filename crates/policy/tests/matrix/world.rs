//! Carries items one by one; knows order, loss and delay, and nothing else of a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use dfs_ids::Incarnation;
use dfs_ids::SubmissionId;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_wire::session::Attach;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;

use crate::fault::Heal;
use crate::link::Connection;
use crate::link::Item;
use crate::link::Way;
use crate::node;
use crate::node::Caller;
use crate::node::Node;
use crate::node::Target;

const TICK_US: u64 = 250_000;
const RUN_US: u64 = 100_000;
/// Silence after which an agent gives up a call.
const REPLY_TIMEOUT_US: u64 = 5_000_000;
/// Time until a process that has ended is replaced.
pub const REPLACE_US: u64 = 300_000;

/// Bound on the items that arrive at one time; a load has far fewer.
const MAX_BURST: u32 = 2_000;

/// Position of an item: time and order of its arrival.
pub type Key = (u64, u64);

pub struct World {
    pub now_us: u64,
    pub items: BTreeMap<Key, Item>,
    pub entries: Vec<Node<Entry>>,
    pub agents: Vec<Node<Agent>>,
    pub targets: Vec<Target>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub cuts: BTreeSet<(usize, usize, Way)>,
    pub heals: Vec<(u64, Heal)>,
    /// Every start, in order, as the targets logged it.
    pub starts: Vec<TaskRef>,
    pub callers: Vec<Caller>,
    /// When the last fault began or ended.
    pub disturbed_us: u64,
    /// Whether processes sent each other messages without end.
    pub has_livelock: bool,
    /// Items that have arrived since time last passed.
    burst: u32,
    serial: u64,
}

impl World {
    pub fn new(entries: usize, agents: usize) -> Self {
        let mut world = Self {
            now_us: TICK_US,
            items: BTreeMap::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            connections: BTreeMap::new(),
            cuts: BTreeSet::new(),
            heals: Vec::new(),
            starts: Vec::new(),
            callers: Vec::new(),
            disturbed_us: 0,
            has_livelock: false,
            burst: 0,
            serial: 0,
        };
        for index in 0..entries {
            let life = world.next_life();
            world
                .entries
                .push(Node::new(node::entry(index, life), life));
        }
        for _ in 0..agents {
            let life = world.next_life();
            world.agents.push(Node::new(node::agent(life), life));
            world.targets.push(Target {
                is_up: true,
                is_frozen: false,
                is_leaving: false,
            });
        }
        world.tick();
        world
    }

    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    pub fn next_life(&mut self) -> Incarnation {
        Incarnation::new(self.next_serial())
    }

    pub fn push(&mut self, item: Item) {
        self.push_after(0, item);
    }

    pub fn push_after(&mut self, delay_us: u64, item: Item) {
        let key = (self.now_us + delay_us, self.next_serial());
        self.items.insert(key, item);
    }

    pub fn submit(&mut self, delay_us: u64, caller: Caller) {
        self.callers.push(caller);
        self.push_after(delay_us, Item::Submit(self.callers.len() - 1));
    }

    /// The item that arrives next, if one can arrive now.
    pub fn next_key(&self) -> Option<Key> {
        let due = self.items.range(..=(self.now_us, u64::MAX));
        let mut open = due.filter(|(_, item)| !self.is_blocked(item));
        open.next().map(|(key, _)| *key)
    }

    /// Lets one item arrive, or time pass until something happens; true if an item arrived.
    pub fn step(&mut self) -> bool {
        if let Some(key) = self.next_key().filter(|_| self.burst < MAX_BURST) {
            self.burst += 1;
            self.has_livelock |= self.burst == MAX_BURST;
            let item = self.items.remove(&key).unwrap();
            self.deliver(item, true);
            return true;
        }
        self.burst = 0;
        let after = Bound::Excluded((self.now_us, u64::MAX));
        let item_us = self.items.range((after, Bound::Unbounded)).next();
        let heal_us = self.heals.iter().map(|(at, _)| *at).min();
        let next_us = item_us.map(|(key, _)| key.0).into_iter().chain(heal_us);
        let tick_us = self.now_us + TICK_US;
        self.now_us = next_us.fold(tick_us, u64::min).max(self.now_us);
        self.heal_due();
        self.tick();
        false
    }

    pub fn run_for(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while self.now_us < end_us {
            self.step();
        }
    }

    pub fn is_blocked(&self, item: &Item) -> bool {
        let cut = |way| {
            let connection = item.connection().map(|c| &self.connections[&c]);
            connection.is_some_and(|c| self.cuts.contains(&(c.entry, c.agent, way)))
        };
        let to = |c: &ConnectionId| &self.connections[c];
        match item {
            Item::Submit(caller) | Item::Cancel(caller) => {
                self.entries[self.callers[*caller].entry].is_frozen
            }
            Item::Attach(c) | Item::Report(c, _) => {
                self.entries[to(c).entry].is_frozen || cut(Way::ToEntry)
            }
            // A process sees at once that it has closed a connection itself.
            Item::LostAtEntry(c) => {
                self.entries[to(c).entry].is_frozen || to(c).is_open_at_entry && cut(Way::ToEntry)
            }
            Item::Message(c, _) | Item::Reply(c, ..) => {
                self.agents[to(c).agent].is_frozen || cut(Way::ToAgent)
            }
            Item::LostAtAgent(c) => {
                self.agents[to(c).agent].is_frozen || to(c).is_open_at_agent && cut(Way::ToAgent)
            }
            Item::Start { agent, .. } => {
                self.targets[*agent].is_frozen || self.cuts.contains(&(0, *agent, Way::ToTarget))
            }
            Item::Ended { agent, .. } => {
                self.targets[*agent].is_frozen
                    || self.agents[*agent].is_frozen
                    || self.cuts.contains(&(0, *agent, Way::FromTarget))
            }
        }
    }

    pub fn deliver(&mut self, item: Item, flush: bool) {
        match item {
            Item::Submit(caller) => self.on_submit(caller, flush),
            Item::Cancel(caller) => {
                let entry = self.callers[caller].entry;
                if let Some(submission) = self.callers[caller].submission.clone() {
                    self.at_entry(entry, EntryEvent::Cancel { submission }, flush);
                }
            }
            Item::Attach(connection) => self.on_attach(connection, flush),
            Item::Report(connection, report) => {
                let event = EntryEvent::Report { connection, report };
                self.at_entry_of(connection, event, flush);
            }
            Item::LostAtEntry(connection) => {
                let event = EntryEvent::ConnectionLost { connection };
                self.at_entry_of(connection, event, flush);
            }
            Item::Message(connection, _) if self.connections[&connection].is_lost_at_agent => {}
            Item::Message(connection, message) => {
                let known = self.connections.get_mut(&connection);
                known.and_then(|c| c.waiting.remove(&u64::MAX));
                let event = AgentEvent::Message {
                    connection,
                    message,
                };
                self.at_agent_of(connection, event, flush);
            }
            Item::Reply(connection, seq, Ok(ack)) => {
                let known = self.connections.get_mut(&connection);
                known.and_then(|c| c.waiting.remove(&seq));
                let event = AgentEvent::ReportAcked {
                    connection,
                    seq,
                    ack,
                };
                self.at_agent_of(connection, event, flush);
            }
            Item::Reply(connection, _, Err(_)) => self.close_at_agent(connection),
            Item::LostAtAgent(connection) => {
                let event = AgentEvent::ConnectionLost { connection };
                let known = self.connections.get_mut(&connection).unwrap();
                known.is_open_at_agent = false;
                known.is_lost_at_agent = true;
                self.at_agent_of(connection, event, flush);
            }
            Item::Start {
                agent,
                life,
                task,
                body,
            } => self.on_start(agent, life, &task, body),
            Item::Ended {
                agent,
                life,
                task,
                end,
            } => {
                if self.agents[agent].life == life {
                    let run_us = RUN_US;
                    self.at_agent(agent, AgentEvent::RunEnded { task, run_us, end }, flush);
                }
            }
        }
    }

    fn on_start(&mut self, agent: usize, life: Incarnation, task: &TaskRef, body: Arc<RawValue>) {
        let ended = |end| Item::Ended {
            agent,
            life,
            task: task.clone(),
            end,
        };
        if self.targets[agent].is_up {
            let done = ended(RunEnd::Finished(TaskOutcome::Done(body)));
            self.starts.push(task.clone());
            self.push_after(RUN_US, done);
        } else {
            self.push(ended(RunEnd::NotStarted(NotRunReason::ConnectionRefused)));
        }
    }

    fn on_submit(&mut self, caller: usize, flush: bool) {
        let now_us = self.now_us;
        let serial = self.next_serial();
        let waiting = &mut self.callers[caller];
        let entry = &self.entries[waiting.entry];
        waiting.submitted_us = now_us;
        if entry.machine.is_none() {
            waiting.is_cut_off = true;
            return;
        }
        let submission = SubmissionId::numbered(entry.life, serial);
        waiting.submission = Some(submission.clone());
        let event = EntryEvent::Submit(waiting.submission(submission));
        self.at_entry(self.callers[caller].entry, event, flush);
    }

    fn on_attach(&mut self, connection: ConnectionId, flush: bool) {
        let attach = Attach {
            secret: String::new(),
            agent: format!("agent-{}", self.connections[&connection].agent)
                .parse()
                .unwrap(),
            incarnation: self.connections[&connection].agent_life,
            domain: "aba".parse().unwrap(),
        };
        self.at_entry_of(connection, EntryEvent::Attach { connection, attach }, flush);
    }

    fn at_entry_of(&mut self, connection: ConnectionId, event: EntryEvent, flush: bool) {
        let known = &self.connections[&connection];
        if self.entries[known.entry].life == known.entry_life {
            self.at_entry(known.entry, event, flush);
        }
    }

    fn at_agent_of(&mut self, connection: ConnectionId, event: AgentEvent, flush: bool) {
        let known = &self.connections[&connection];
        if self.agents[known.agent].life == known.agent_life {
            self.at_agent(known.agent, event, flush);
        }
    }

    pub fn at_entry(&mut self, index: usize, event: EntryEvent, flush: bool) {
        let node = &mut self.entries[index];
        let now = node.clock(self.now_us);
        let Some(machine) = &mut node.machine else {
            return;
        };
        let mut actions = machine.handle(now, event);
        if flush {
            actions.extend(machine.flush(now));
        }
        for action in actions {
            self.perform_entry(index, action);
        }
    }

    pub fn at_agent(&mut self, index: usize, event: AgentEvent, flush: bool) {
        let node = &mut self.agents[index];
        let now = node.clock(self.now_us);
        let Some(machine) = &mut node.machine else {
            return;
        };
        let mut actions = machine.handle(now, event);
        if flush {
            actions.extend(machine.flush(now));
        }
        for action in actions {
            self.perform_agent(index, action);
        }
    }

    fn perform_entry(&mut self, index: usize, action: EntryAction) {
        match action {
            EntryAction::Answer { submission, answer } => {
                let now_us = self.now_us;
                let of = |c: &&mut Caller| c.submission.as_ref() == Some(&submission);
                let caller = self.callers.iter_mut().find(of).expect("a known caller");
                caller.answers.push((now_us, answer));
            }
            EntryAction::Send {
                connection,
                message,
            } => self.push(Item::Message(connection, message)),
            EntryAction::Reply {
                connection,
                seq,
                reply,
            } => self.push(Item::Reply(connection, seq, reply)),
            EntryAction::Close { connection } => self.close_at_entry(connection),
            EntryAction::Stopped => self.end_entry(index),
            _ => {}
        }
    }

    fn perform_agent(&mut self, index: usize, action: AgentAction) {
        match action {
            AgentAction::SendReport { connection, report } => {
                let known = self.connections.get_mut(&connection).unwrap();
                known.waiting.insert(report.seq, self.now_us);
                self.push(Item::Report(connection, report));
            }
            AgentAction::CloseConnection { connection } => self.close_at_agent(connection),
            AgentAction::StartRun { task, body, .. } => {
                let life = self.agents[index].life;
                self.push(Item::Start {
                    agent: index,
                    life,
                    task,
                    body,
                });
            }
            AgentAction::ShutdownComplete => self.end_agent(index),
            _ => {}
        }
    }

    fn close_at_entry(&mut self, connection: ConnectionId) {
        let known = self.connections.get_mut(&connection).unwrap();
        if std::mem::take(&mut known.is_open_at_entry) {
            self.push(Item::LostAtEntry(connection));
            self.push(Item::LostAtAgent(connection));
        }
    }

    pub fn close_at_agent(&mut self, connection: ConnectionId) {
        let known = self.connections.get_mut(&connection).unwrap();
        if std::mem::take(&mut known.is_open_at_agent) {
            self.push(Item::LostAtAgent(connection));
            self.push(Item::LostAtEntry(connection));
        }
    }

    /// Open connections of a pair of processes.
    pub fn connections_of(&self, entry: usize, agent: usize) -> Vec<ConnectionId> {
        let of = |c: &Connection| c.entry == entry && c.agent == agent && c.is_open_at_agent;
        let known = self.connections.iter().filter(|(_, c)| of(c));
        known.map(|(id, _)| *id).collect()
    }

    pub fn end_entry(&mut self, index: usize) {
        self.entries[index].machine = None;
        let life = self.entries[index].life;
        let of = self
            .connections
            .iter()
            .filter(|(_, c)| c.entry_life == life);
        let lost: Vec<_> = of.map(|(id, _)| *id).collect();
        for connection in lost {
            self.close_at_entry(connection);
        }
        for caller in self.callers.iter_mut().filter(|c| c.entry == index) {
            caller.is_cut_off |= caller.submission.is_some() && caller.answers.is_empty();
        }
        self.heal_after(REPLACE_US, Heal::ReplaceEntry(index, life));
    }

    pub fn end_agent(&mut self, index: usize) {
        self.agents[index].machine = None;
        let life = self.agents[index].life;
        let of = self
            .connections
            .iter()
            .filter(|(_, c)| c.agent_life == life);
        let lost: Vec<_> = of.map(|(id, _)| *id).collect();
        for connection in lost {
            self.close_at_agent(connection);
        }
        self.heal_after(REPLACE_US, Heal::ReplaceAgent(index, life));
    }

    fn tick(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_awake() {
                self.at_entry(index, EntryEvent::Tick, true);
            }
        }
        for index in 0..self.agents.len() {
            if self.agents[index].is_awake() {
                self.give_up_calls(index);
                self.dial(index);
                self.announce(index);
                self.at_agent(index, AgentEvent::Tick, true);
            }
        }
    }

    fn announce(&mut self, index: usize) {
        let target = &self.targets[index];
        let is_cut = self.cuts.contains(&(0, index, Way::FromTarget));
        if target.is_up && !target.is_frozen && !target.is_leaving && !is_cut {
            let heartbeat = AgentEvent::TargetAnnounced(node::announcement(index));
            self.at_agent(index, heartbeat, false);
        }
    }

    fn give_up_calls(&mut self, agent: usize) {
        let late = self.now_us.saturating_sub(REPLY_TIMEOUT_US);
        let is_late =
            |c: &Connection| c.agent == agent && c.waiting.values().any(|sent| *sent < late);
        let lost = self.connections.iter().filter(|(_, c)| is_late(c));
        let lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        for connection in lost {
            self.close_at_agent(connection);
        }
    }

    pub fn dial(&mut self, agent: usize) {
        for entry in 0..self.entries.len() {
            let is_cut = self.cuts.contains(&(entry, agent, Way::ToEntry));
            let is_up = self.entries[entry].machine.is_some();
            if is_up && !is_cut && self.connections_of(entry, agent).is_empty() {
                let connection = ConnectionId(self.next_serial());
                let known = Connection {
                    entry,
                    entry_life: self.entries[entry].life,
                    agent,
                    agent_life: self.agents[agent].life,
                    is_open_at_entry: true,
                    is_open_at_agent: true,
                    is_lost_at_agent: false,
                    waiting: BTreeMap::from([(u64::MAX, self.now_us)]),
                };
                self.connections.insert(connection, known);
                self.push(Item::Attach(connection));
            }
        }
    }
}
