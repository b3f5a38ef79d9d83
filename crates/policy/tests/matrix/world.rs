//! Discrete-event simulation of processes and links. Each step delivers one message or event, or lets time
//! pass until the next one; faults change the order, loss and delay of deliveries.

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

use crate::fault::Recovery;
use crate::link::Connection;
use crate::link::Delivery;
use crate::link::Direction;
use crate::node;
use crate::node::Caller;
use crate::node::Node;
use crate::node::Target;

/// Interval between ticks of all processes.
const TICK_US: u64 = 250_000;
/// Run time of each task.
const RUN_US: u64 = 100_000;
/// Time without a reply after which an agent closes the connection.
const REPLY_TIMEOUT_US: u64 = 5_000_000;
/// Time until a process that crashed or shut down is replaced by a new incarnation.
pub const REPLACE_US: u64 = 300_000;

/// Deliveries without time passing that count as a livelock; a normal workload needs far fewer.
const MAX_BURST: u32 = 2_000;

/// Arrival time of a delivery, and a serial that orders deliveries of the same time.
pub type Key = (u64, u64);

pub struct Simulation {
    pub now_us: u64,
    pub in_flight: BTreeMap<Key, Delivery>,
    pub entries: Vec<Node<Entry>>,
    pub agents: Vec<Node<Agent>>,
    pub targets: Vec<Target>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    /// Interrupted directions of links by entry and agent; the entry is 0 for links to targets.
    pub partitions: BTreeSet<(usize, usize, Direction)>,
    /// Scheduled recoveries with the time of each.
    pub recoveries: Vec<(u64, Recovery)>,
    /// Every start of a task on a target, in order.
    pub starts: Vec<TaskRef>,
    pub callers: Vec<Caller>,
    /// When the last fault begins or ends; in the future while a recovery is scheduled.
    pub last_disturbance_us: u64,
    /// Whether [`MAX_BURST`] deliveries arrived without time passing.
    pub has_livelock: bool,
    /// Deliveries since time last passed.
    burst: u32,
    serial: u64,
}

impl Simulation {
    pub fn new(entries: usize, agents: usize) -> Self {
        let mut sim = Self {
            now_us: TICK_US,
            in_flight: BTreeMap::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            recoveries: Vec::new(),
            starts: Vec::new(),
            callers: Vec::new(),
            last_disturbance_us: 0,
            has_livelock: false,
            burst: 0,
            serial: 0,
        };
        for index in 0..entries {
            let incarnation = sim.next_incarnation();
            sim.entries
                .push(Node::new(node::entry(index, incarnation), incarnation));
        }
        for _ in 0..agents {
            let incarnation = sim.next_incarnation();
            sim.agents
                .push(Node::new(node::agent(incarnation), incarnation));
            sim.targets.push(Target {
                is_up: true,
                is_paused: false,
                is_leaving: false,
            });
        }
        sim.tick();
        sim
    }

    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    pub fn next_incarnation(&mut self) -> Incarnation {
        Incarnation::new(self.next_serial())
    }

    pub fn push(&mut self, delivery: Delivery) {
        self.push_after(0, delivery);
    }

    pub fn push_after(&mut self, delay_us: u64, delivery: Delivery) {
        let key = (self.now_us + delay_us, self.next_serial());
        self.in_flight.insert(key, delivery);
    }

    pub fn submit(&mut self, delay_us: u64, caller: Caller) {
        self.callers.push(caller);
        self.push_after(delay_us, Delivery::Submit(self.callers.len() - 1));
    }

    /// Key of the next delivery that is due and not blocked.
    pub fn next_key(&self) -> Option<Key> {
        let due = self.in_flight.range(..=(self.now_us, u64::MAX));
        let mut deliverable = due.filter(|(_, delivery)| !self.is_blocked(delivery));
        deliverable.next().map(|(key, _)| *key)
    }

    /// Makes one delivery, or advances time to the next delivery, recovery or tick if none is due. Returns
    /// whether a delivery was made.
    pub fn step(&mut self) -> bool {
        if let Some(key) = self.next_key().filter(|_| self.burst < MAX_BURST) {
            self.burst += 1;
            self.has_livelock |= self.burst == MAX_BURST;
            let delivery = self.in_flight.remove(&key).unwrap();
            self.deliver(delivery, true);
            return true;
        }
        self.burst = 0;
        let after = Bound::Excluded((self.now_us, u64::MAX));
        let delivery_us = self.in_flight.range((after, Bound::Unbounded)).next();
        let recovery_us = self.recoveries.iter().map(|(at, _)| *at).min();
        let next_us = delivery_us
            .map(|(key, _)| key.0)
            .into_iter()
            .chain(recovery_us);
        let tick_us = self.now_us + TICK_US;
        self.now_us = next_us.fold(tick_us, u64::min).max(self.now_us);
        self.apply_due_recoveries();
        self.tick();
        false
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.step();
        }
    }

    /// Whether a pause or a partition holds back the delivery.
    pub fn is_blocked(&self, delivery: &Delivery) -> bool {
        let is_partitioned = |direction| {
            let connection = delivery.connection().map(|c| &self.connections[&c]);
            connection.is_some_and(|c| self.partitions.contains(&(c.entry, c.agent, direction)))
        };
        let conn = |c: &ConnectionId| &self.connections[c];
        match delivery {
            Delivery::Submit(caller) | Delivery::Cancel(caller) => {
                self.entries[self.callers[*caller].entry].is_paused
            }
            Delivery::Attach(c) | Delivery::Report(c, _) => {
                self.entries[conn(c).entry].is_paused || is_partitioned(Direction::ToEntry)
            }
            // The end that closed the connection itself learns of it even across a partition.
            Delivery::ConnectionLostAtEntry(c) => {
                self.entries[conn(c).entry].is_paused
                    || conn(c).is_open_at_entry && is_partitioned(Direction::ToEntry)
            }
            Delivery::Message(c, _) | Delivery::Reply(c, ..) => {
                self.agents[conn(c).agent].is_paused || is_partitioned(Direction::ToAgent)
            }
            Delivery::ConnectionLostAtAgent(c) => {
                self.agents[conn(c).agent].is_paused
                    || conn(c).is_open_at_agent && is_partitioned(Direction::ToAgent)
            }
            Delivery::StartRun { agent, .. } => {
                self.targets[*agent].is_paused
                    || self.partitions.contains(&(0, *agent, Direction::ToTarget))
            }
            Delivery::RunEnded { agent, .. } => {
                self.targets[*agent].is_paused
                    || self.agents[*agent].is_paused
                    || self
                        .partitions
                        .contains(&(0, *agent, Direction::FromTarget))
            }
        }
    }

    /// Hands a delivery to its process. Without `flush`, the process handles it but places and sends nothing
    /// that waits for the end of a batch.
    pub fn deliver(&mut self, delivery: Delivery, flush: bool) {
        match delivery {
            Delivery::Submit(caller) => self.on_submit(caller, flush),
            Delivery::Cancel(caller) => {
                let entry = self.callers[caller].entry;
                if let Some(submission) = self.callers[caller].submission.clone() {
                    self.handle_at_entry(entry, EntryEvent::Cancel { submission }, flush);
                }
            }
            Delivery::Attach(connection) => self.on_attach(connection, flush),
            Delivery::Report(connection, report) => {
                let event = EntryEvent::Report { connection, report };
                self.handle_at_connected_entry(connection, event, flush);
            }
            Delivery::ConnectionLostAtEntry(connection) => {
                let event = EntryEvent::ConnectionLost { connection };
                self.handle_at_connected_entry(connection, event, flush);
            }
            Delivery::Message(connection, _)
                if self.connections[&connection].has_agent_seen_loss => {}
            Delivery::Message(connection, message) => {
                let conn = self.connections.get_mut(&connection);
                conn.and_then(|c| c.unanswered_calls.remove(&u64::MAX));
                let event = AgentEvent::Message {
                    connection,
                    message,
                };
                self.handle_at_connected_agent(connection, event, flush);
            }
            Delivery::Reply(connection, seq, Ok(ack)) => {
                let conn = self.connections.get_mut(&connection);
                conn.and_then(|c| c.unanswered_calls.remove(&seq));
                let event = AgentEvent::ReportAcked {
                    connection,
                    seq,
                    ack,
                };
                self.handle_at_connected_agent(connection, event, flush);
            }
            Delivery::Reply(connection, _, Err(_)) => self.close_at_agent(connection),
            Delivery::ConnectionLostAtAgent(connection) => {
                let event = AgentEvent::ConnectionLost { connection };
                let conn = self.connections.get_mut(&connection).unwrap();
                conn.is_open_at_agent = false;
                conn.has_agent_seen_loss = true;
                self.handle_at_connected_agent(connection, event, flush);
            }
            Delivery::StartRun {
                agent,
                incarnation,
                task,
                body,
            } => self.on_start_run(agent, incarnation, &task, body),
            Delivery::RunEnded {
                agent,
                incarnation,
                task,
                end,
            } => {
                if self.agents[agent].incarnation == incarnation {
                    let run_us = RUN_US;
                    self.handle_at_agent(agent, AgentEvent::RunEnded { task, run_us, end }, flush);
                }
            }
        }
    }

    fn on_start_run(
        &mut self,
        agent: usize,
        incarnation: Incarnation,
        task: &TaskRef,
        body: Arc<RawValue>,
    ) {
        let run_ended = |end| Delivery::RunEnded {
            agent,
            incarnation,
            task: task.clone(),
            end,
        };
        if self.targets[agent].is_up {
            let done = run_ended(RunEnd::Finished(TaskOutcome::Done(body)));
            self.starts.push(task.clone());
            self.push_after(RUN_US, done);
        } else {
            self.push(run_ended(RunEnd::NotStarted(
                NotRunReason::ConnectionRefused,
            )));
        }
    }

    fn on_submit(&mut self, caller: usize, flush: bool) {
        let now_us = self.now_us;
        let serial = self.next_serial();
        let submitter = &mut self.callers[caller];
        let entry = &self.entries[submitter.entry];
        submitter.submitted_us = now_us;
        if entry.state.is_none() {
            submitter.is_disconnected = true;
            return;
        }
        let submission = SubmissionId::numbered(entry.incarnation, serial);
        submitter.submission = Some(submission.clone());
        let event = EntryEvent::Submit(submitter.submission(submission));
        self.handle_at_entry(self.callers[caller].entry, event, flush);
    }

    fn on_attach(&mut self, connection: ConnectionId, flush: bool) {
        let attach = Attach {
            secret: String::new(),
            agent: format!("agent-{}", self.connections[&connection].agent)
                .parse()
                .unwrap(),
            incarnation: self.connections[&connection].agent_incarnation,
            domain: "aba".parse().unwrap(),
            takeover: None,
        };
        self.handle_at_connected_entry(
            connection,
            EntryEvent::Attach { connection, attach },
            flush,
        );
    }

    fn handle_at_connected_entry(
        &mut self,
        connection: ConnectionId,
        event: EntryEvent,
        flush: bool,
    ) {
        let conn = &self.connections[&connection];
        if self.entries[conn.entry].incarnation == conn.entry_incarnation {
            self.handle_at_entry(conn.entry, event, flush);
        }
    }

    fn handle_at_connected_agent(
        &mut self,
        connection: ConnectionId,
        event: AgentEvent,
        flush: bool,
    ) {
        let conn = &self.connections[&connection];
        if self.agents[conn.agent].incarnation == conn.agent_incarnation {
            self.handle_at_agent(conn.agent, event, flush);
        }
    }

    pub fn handle_at_entry(&mut self, index: usize, event: EntryEvent, flush: bool) {
        let node = &mut self.entries[index];
        let now = node.clock(self.now_us);
        let Some(state) = &mut node.state else {
            return;
        };
        let mut actions = state.handle(now, event);
        if flush {
            actions.extend(state.flush(now));
        }
        for action in actions {
            self.apply_entry_action(index, action);
        }
    }

    pub fn handle_at_agent(&mut self, index: usize, event: AgentEvent, flush: bool) {
        let node = &mut self.agents[index];
        let now = node.clock(self.now_us);
        let Some(state) = &mut node.state else {
            return;
        };
        let mut actions = state.handle(now, event);
        if flush {
            actions.extend(state.flush(now));
        }
        for action in actions {
            self.apply_agent_action(index, action);
        }
    }

    fn apply_entry_action(&mut self, index: usize, action: EntryAction) {
        match action {
            EntryAction::Answer { submission, answer } => {
                let now_us = self.now_us;
                let is_submitter = |c: &&mut Caller| c.submission.as_ref() == Some(&submission);
                let caller = self
                    .callers
                    .iter_mut()
                    .find(is_submitter)
                    .expect("the answer is for a known submission");
                caller.answers.push((now_us, answer));
            }
            EntryAction::Send {
                connection,
                message,
            } => self.push(Delivery::Message(connection, message)),
            EntryAction::Reply {
                connection,
                seq,
                reply,
            } => self.push(Delivery::Reply(connection, seq, reply)),
            EntryAction::Close { connection } => self.close_at_entry(connection),
            EntryAction::ShutdownComplete => self.terminate_entry(index),
            _ => {}
        }
    }

    fn apply_agent_action(&mut self, index: usize, action: AgentAction) {
        match action {
            AgentAction::SendReport { connection, report } => {
                let conn = self.connections.get_mut(&connection).unwrap();
                conn.unanswered_calls.insert(report.seq, self.now_us);
                self.push(Delivery::Report(connection, report));
            }
            AgentAction::CloseConnection { connection } => self.close_at_agent(connection),
            AgentAction::StartRun { task, body, .. } => {
                let incarnation = self.agents[index].incarnation;
                self.push(Delivery::StartRun {
                    agent: index,
                    incarnation,
                    task,
                    body,
                });
            }
            AgentAction::ShutdownComplete => self.terminate_agent(index),
            _ => {}
        }
    }

    fn close_at_entry(&mut self, connection: ConnectionId) {
        let conn = self.connections.get_mut(&connection).unwrap();
        if std::mem::take(&mut conn.is_open_at_entry) {
            self.push(Delivery::ConnectionLostAtEntry(connection));
            self.push(Delivery::ConnectionLostAtAgent(connection));
        }
    }

    pub fn close_at_agent(&mut self, connection: ConnectionId) {
        let conn = self.connections.get_mut(&connection).unwrap();
        if std::mem::take(&mut conn.is_open_at_agent) {
            self.push(Delivery::ConnectionLostAtAgent(connection));
            self.push(Delivery::ConnectionLostAtEntry(connection));
        }
    }

    /// Connections between an entry and an agent that are open at the agent.
    pub fn connections_of(&self, entry: usize, agent: usize) -> Vec<ConnectionId> {
        let is_open = |c: &Connection| c.entry == entry && c.agent == agent && c.is_open_at_agent;
        let open = self.connections.iter().filter(|(_, c)| is_open(c));
        open.map(|(id, _)| *id).collect()
    }

    /// Ends the process of an entry, be it by a crash or a shutdown, and schedules its replacement.
    pub fn terminate_entry(&mut self, index: usize) {
        self.entries[index].state = None;
        let incarnation = self.entries[index].incarnation;
        let own = self
            .connections
            .iter()
            .filter(|(_, c)| c.entry_incarnation == incarnation);
        let lost: Vec<_> = own.map(|(id, _)| *id).collect();
        for connection in lost {
            self.close_at_entry(connection);
        }
        for caller in self.callers.iter_mut().filter(|c| c.entry == index) {
            caller.is_disconnected |= caller.submission.is_some() && caller.answers.is_empty();
        }
        self.schedule_recovery(REPLACE_US, Recovery::ReplaceEntry(index, incarnation));
    }

    /// Ends the process of an agent, be it by a crash or a shutdown, and schedules its replacement.
    pub fn terminate_agent(&mut self, index: usize) {
        self.agents[index].state = None;
        let incarnation = self.agents[index].incarnation;
        let own = self
            .connections
            .iter()
            .filter(|(_, c)| c.agent_incarnation == incarnation);
        let lost: Vec<_> = own.map(|(id, _)| *id).collect();
        for connection in lost {
            self.close_at_agent(connection);
        }
        self.schedule_recovery(REPLACE_US, Recovery::ReplaceAgent(index, incarnation));
    }

    fn tick(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_running() {
                self.handle_at_entry(index, EntryEvent::Tick, true);
            }
        }
        for index in 0..self.agents.len() {
            if self.agents[index].is_running() {
                self.close_timed_out_connections(index);
                self.dial(index);
                self.announce(index);
                self.handle_at_agent(index, AgentEvent::Tick, true);
            }
        }
    }

    fn announce(&mut self, index: usize) {
        let target = &self.targets[index];
        let is_partitioned = self.partitions.contains(&(0, index, Direction::FromTarget));
        if target.is_up && !target.is_paused && !target.is_leaving && !is_partitioned {
            let heartbeat = AgentEvent::TargetAnnounced(node::announcement(index));
            self.handle_at_agent(index, heartbeat, false);
        }
    }

    fn close_timed_out_connections(&mut self, agent: usize) {
        let deadline_us = self.now_us.saturating_sub(REPLY_TIMEOUT_US);
        let has_timed_out = |c: &Connection| {
            c.agent == agent
                && c.unanswered_calls
                    .values()
                    .any(|sent_us| *sent_us < deadline_us)
        };
        let timed_out = self.connections.iter().filter(|(_, c)| has_timed_out(c));
        let timed_out: Vec<_> = timed_out.map(|(id, _)| *id).collect();
        for connection in timed_out {
            self.close_at_agent(connection);
        }
    }

    /// Opens a connection to each entry that is up and reachable and has none.
    pub fn dial(&mut self, agent: usize) {
        for entry in 0..self.entries.len() {
            let is_partitioned = self
                .partitions
                .contains(&(entry, agent, Direction::ToEntry));
            let is_up = self.entries[entry].state.is_some();
            if is_up && !is_partitioned && self.connections_of(entry, agent).is_empty() {
                let connection = ConnectionId(self.next_serial());
                let conn = Connection {
                    entry,
                    entry_incarnation: self.entries[entry].incarnation,
                    agent,
                    agent_incarnation: self.agents[agent].incarnation,
                    is_open_at_entry: true,
                    is_open_at_agent: true,
                    has_agent_seen_loss: false,
                    unanswered_calls: BTreeMap::from([(u64::MAX, self.now_us)]),
                };
                self.connections.insert(connection, conn);
                self.push(Delivery::Attach(connection));
            }
        }
    }
}
