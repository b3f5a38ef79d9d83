//! Entries and agents that exchange messages without loss, each held up for as long as a test asks for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::EvacuationChange;
use dfs_conf::EvacuationUpdate;
use dfs_conf::Evacuations;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Revision;
use dfs_ids::Slots;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_policy::reads::ReadId;
use dfs_wire::api::Answer;
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Report;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use serde_json::value::RawValue;

pub const SLOTS: u32 = 4;
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 10_000;
const TARGET_LEASE_MS: u64 = 600_000;

/// Where a message goes.
#[derive(Debug)]
enum Delivery {
    ToAgent(EntryMessage),
    Acked(u64, Ack),
    ToEntry(Report),
}

struct Link {
    entry: usize,
    agent: usize,
    connection: ConnectionId,
    messages: VecDeque<Delivery>,
}

pub struct World {
    pub now: Moment,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    domains: Vec<&'static str>,
    /// Incarnations of the agents.
    incarnations: Vec<Incarnation>,
    links: BTreeMap<ConnectionId, Link>,
    /// Pairs of entry and agent between which nothing is delivered for now.
    pub held: BTreeSet<(usize, usize)>,
    /// Agent and task of each start, in order.
    pub starts: Vec<(usize, TaskRef)>,
    /// Time of each start.
    pub start_times: Vec<Moment>,
    running: Vec<(usize, TaskRef)>,
    pub answers: BTreeMap<String, Answer>,
    /// Last evacuation state that each agent has told its driver.
    pub driver_evacuated: Vec<bool>,
    /// Number of items that named evacuations, in either direction.
    pub evacuation_items: usize,
    /// Bound within which agents follow an evacuation by reads of their own; `None` if they can't read the store.
    bound_ms: Option<Millis>,
    /// Reads of agents that the test has not answered yet: agent, read, time of sending.
    pub reads: Vec<(usize, ReadId, Moment)>,
    next_number: u64,
}

pub fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

pub fn full(revision: u64, domains: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Full(Evacuations {
        revision: Revision::new(revision),
        domains: domains.iter().map(|name| domain(name)).collect(),
    })
}

/// A feed answer with these changes: domain, and whether it is evacuated.
pub fn changes(after: u64, revision: u64, changes: &[(&str, bool)]) -> EvacuationUpdate {
    let change = |(name, is_evacuated): &(&str, bool)| EvacuationChange {
        domain: domain(name),
        is_evacuated: *is_evacuated,
    };
    EvacuationUpdate::Changes {
        after: Revision::new(after),
        revision: Revision::new(revision),
        changes: changes.iter().map(change).collect(),
    }
}

fn body() -> Arc<RawValue> {
    Arc::from(RawValue::from_string("1".to_owned()).unwrap())
}

fn config() -> Arc<Config> {
    let rules = Rules::default();
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory: Inventory {
            domains: vec![domain("lagos"), domain("aba")],
            operators: Vec::new(),
            services: vec![Service {
                service: "desk".parse().unwrap(),
                requires: Resources::default(),
            }],
            groups: vec![Group {
                group: "members".parse().unwrap(),
                share: 1.0,
                tokens_sha256: Vec::new(),
                services: vec!["desk".parse().unwrap()],
                targets: Vec::new(),
                max_placed: None,
            }],
            queues: Vec::new(),
            targets: Vec::new(),
        },
        rules,
    })
}

impl World {
    /// Entries with a configuration, and one agent in each of these failure domains, not connected.
    pub fn new(entries: usize, domains: &[&'static str]) -> Self {
        Self::with_reads(entries, domains, None)
    }

    /// The same with agents that follow an evacuation within a bound.
    pub fn with_reads(entries: usize, domains: &[&'static str], bound_ms: Option<Millis>) -> Self {
        let mut world = Self {
            now: Moment::from_millis(10_000),
            entries: Vec::new(),
            agents: Vec::new(),
            domains: domains.to_vec(),
            incarnations: vec![Incarnation::new(0); domains.len()],
            links: BTreeMap::new(),
            held: BTreeSet::new(),
            starts: Vec::new(),
            start_times: Vec::new(),
            running: Vec::new(),
            answers: BTreeMap::new(),
            driver_evacuated: vec![false; domains.len()],
            evacuation_items: 0,
            bound_ms,
            reads: Vec::new(),
            next_number: 0,
        };
        for index in 0..entries {
            let entry = world.new_entry(index);
            world.entries.push(entry);
            world.on_entry(index, EntryEvent::Configured(config()));
        }
        for index in 0..domains.len() {
            let agent = world.new_agent(index);
            world.agents.push(agent);
            world.announce(index);
        }
        world
    }

    /// A world in which every agent has a session with every entry.
    pub fn connected(entries: usize, domains: &[&'static str]) -> Self {
        let mut world = Self::new(entries, domains);
        world.connect_all();
        world
    }

    /// Opens a session of every agent with every entry.
    pub fn connect_all(&mut self) {
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                self.connect(entry, agent);
            }
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        let incarnation = Incarnation::new(self.next_number());
        let mut lease = LeaseSettings {
            startup_ms: Millis::new(0),
            ..LeaseSettings::default()
        };
        if self.bound_ms.is_some() {
            // As on the platform whose users have such a bound.
            lease.lease_ms = Millis::new(700);
            lease.busy_renew_ms = Millis::new(200);
            lease.idle_renew_ms = Millis::new(1_000);
        }
        let identity = Identity {
            entry: format!("entry-{index}").parse().unwrap(),
            domain: domain("lagos"),
            incarnation,
            lease,
            propagation_ms: Millis::new(1_000),
        };
        Entry::new(identity, incarnation.get())
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        let incarnation = Incarnation::new(self.next_number());
        self.incarnations[index] = incarnation;
        let agent = Agent::new(incarnation, Millis::new(RETENTION_MS))
            .in_domain(domain(self.domains[index]));
        match self.bound_ms {
            Some(bound_ms) => agent.reading_evacuations(bound_ms),
            None => agent,
        }
    }

    /// Announces the target of an agent, with its domain as a label.
    fn announce(&mut self, agent: usize) {
        let announcement = Announcement {
            address: ([127, 0, 0, 1], 1).into(),
            lease_ms: Millis::new(TARGET_LEASE_MS),
            offer: Offer {
                target: format!("target-{agent}").parse().unwrap(),
                services: vec!["desk".parse().unwrap()],
                slots: Slots::new(SLOTS),
                connections: 64,
                resources: Resources::default(),
                labels: vec![self.domains[agent].parse().unwrap()],
            },
        };
        self.on_agent(agent, AgentEvent::TargetAnnounced(announcement));
    }

    pub fn connect(&mut self, entry: usize, agent: usize) {
        self.disconnect(entry, agent);
        let connection = ConnectionId(self.next_number());
        let link = Link {
            entry,
            agent,
            connection,
            messages: VecDeque::new(),
        };
        self.links.insert(connection, link);
        let attach = Attach {
            secret: String::new(),
            agent: format!("agent-{agent}").parse().unwrap(),
            incarnation: self.incarnations[agent],
            domain: domain(self.domains[agent]),
            takeover: None,
        };
        self.on_entry(entry, EntryEvent::Attach { connection, attach });
        self.deliver();
    }

    pub fn disconnect(&mut self, entry: usize, agent: usize) {
        let mut links = self.links.values();
        let link = links.find(|link| (link.entry, link.agent) == (entry, agent));
        let Some(connection) = link.map(|link| link.connection) else {
            return;
        };
        self.links.remove(&connection);
        self.on_entry(entry, EntryEvent::ConnectionLost { connection });
        self.on_agent(agent, AgentEvent::ConnectionLost { connection });
        self.deliver();
    }

    /// Starts a new incarnation of an agent, without sessions; its runs have ended.
    pub fn restart_agent(&mut self, agent: usize) {
        let entries = 0..self.entries.len();
        entries.for_each(|entry| self.disconnect(entry, agent));
        self.running.retain(|(at, _)| *at != agent);
        self.reads.retain(|(reader, ..)| *reader != agent);
        self.agents[agent] = self.new_agent(agent);
        self.driver_evacuated[agent] = false;
        self.announce(agent);
    }

    /// Starts a new incarnation of an entry, with a configuration and without sessions.
    pub fn restart_entry(&mut self, entry: usize) {
        let agents = 0..self.agents.len();
        agents.for_each(|agent| self.disconnect(entry, agent));
        self.entries[entry] = self.new_entry(entry);
        self.on_entry(entry, EntryEvent::Configured(config()));
    }

    /// An entry reads this from the store.
    pub fn read(&mut self, entry: usize, update: EvacuationUpdate) {
        self.read_late(entry, update, self.now);
    }

    /// An entry receives the answer to a read that it has sent before.
    pub fn read_late(&mut self, entry: usize, update: EvacuationUpdate, sent_at: Moment) {
        self.on_entry(entry, EntryEvent::EvacuationsRead { update, sent_at });
        self.deliver();
    }

    /// An agent receives the answer to a read, `None` for a failed one.
    pub fn answer(&mut self, agent: usize, read: ReadId, answer: Option<Evacuations>) {
        self.reads
            .retain(|(reader, open, _)| (*reader, *open) != (agent, read));
        self.on_agent(agent, AgentEvent::EvacuationsRead { read, answer });
        self.deliver();
    }

    /// Submits a job whose tasks require this label, if any.
    pub fn submit(&mut self, entry: usize, name: &str, tasks: usize, label: Option<&str>) {
        let submission = Submission {
            id: name.parse().unwrap(),
            group: "members".parse().unwrap(),
            service: "desk".parse().unwrap(),
            tasks: (0..tasks).map(|_| body()).collect(),
            deadline_ms: Some(Millis::new(30_000)),
            terms: Terms {
                label: label.map(|label| label.parse().unwrap()),
                ..Terms::default()
            },
            objective_ms: None,
            max_failures: Some(1),
            constraints: Constraints::default(),
            job: None,
            queue: None,
        };
        self.on_entry(entry, EntryEvent::Submit(submission));
        self.deliver();
    }

    /// Number of starts at an agent so far.
    pub fn started_at(&self, agent: usize) -> usize {
        self.starts.iter().filter(|(at, _)| *at == agent).count()
    }

    pub fn running_at(&self, agent: usize) -> usize {
        self.running.iter().filter(|(at, _)| *at == agent).count()
    }

    /// Ends one run of an agent well.
    pub fn end_run(&mut self, agent: usize) {
        let index = self.running.iter().position(|(at, _)| *at == agent);
        let (_, task) = self.running.remove(index.expect("a run to end"));
        let end = RunEnd::Finished(TaskOutcome::Done(body()));
        let run_us = 50_000;
        self.on_agent(agent, AgentEvent::RunEnded { task, run_us, end });
        self.deliver();
    }

    /// Lets time pass; leases are renewed meanwhile.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick(TICK_MS);
        }
    }

    /// Lets so much time pass until the next tick of all processes.
    pub fn tick(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        for index in 0..self.entries.len() {
            self.on_entry(index, EntryEvent::Tick);
        }
        for index in 0..self.agents.len() {
            self.on_agent(index, AgentEvent::Tick);
        }
        self.deliver();
    }

    /// Delivers all messages that are not held up, and those that follow from them.
    pub fn deliver(&mut self) {
        loop {
            let held = &self.held;
            let links = self.links.values_mut();
            let mut ready = links.filter(|link| {
                !held.contains(&(link.entry, link.agent)) && !link.messages.is_empty()
            });
            let Some(link) = ready.next() else { return };
            let (entry, agent, connection) = (link.entry, link.agent, link.connection);
            match link.messages.pop_front().unwrap() {
                Delivery::ToAgent(message) => {
                    let event = AgentEvent::Message {
                        connection,
                        message,
                    };
                    self.on_agent(agent, event);
                }
                Delivery::Acked(seq, ack) => {
                    let event = AgentEvent::ReportAcked {
                        connection,
                        seq,
                        ack,
                    };
                    self.on_agent(agent, event);
                }
                Delivery::ToEntry(report) => {
                    self.on_entry(entry, EntryEvent::Report { connection, report });
                }
            }
        }
    }

    fn on_entry(&mut self, index: usize, event: EntryEvent) {
        let entry = &mut self.entries[index];
        let mut actions = entry.handle(self.now, event);
        actions.extend(entry.flush(self.now));
        for action in actions {
            match action {
                EntryAction::Answer { submission, answer } => {
                    let earlier = self.answers.insert(submission.to_string(), answer);
                    assert!(earlier.is_none(), "{submission} was answered twice");
                }
                EntryAction::Send {
                    connection,
                    message,
                } => {
                    let items = message.items.iter();
                    self.evacuation_items += items
                        .filter(|item| matches!(item, EntryItem::Evacuations(_)))
                        .count();
                    self.send(connection, Delivery::ToAgent(message));
                }
                EntryAction::Reply {
                    connection,
                    seq,
                    reply: Ok(ack),
                } => self.send(connection, Delivery::Acked(seq, ack)),
                EntryAction::Close { connection } => {
                    self.links.remove(&connection);
                }
                _ => {}
            }
        }
    }

    fn on_agent(&mut self, index: usize, event: AgentEvent) {
        let agent = &mut self.agents[index];
        let mut actions = agent.handle(self.now, event);
        actions.extend(agent.flush(self.now));
        for action in actions {
            match action {
                AgentAction::SendReport { connection, report } => {
                    let items = report.items.iter();
                    self.evacuation_items += items
                        .filter(|item| matches!(item, AgentItem::Evacuations(_)))
                        .count();
                    self.send(connection, Delivery::ToEntry(report));
                }
                AgentAction::DomainEvacuated(is_evacuated) => {
                    self.driver_evacuated[index] = is_evacuated;
                }
                AgentAction::ReadEvacuations { read } => {
                    self.reads.push((index, read, self.now));
                }
                AgentAction::StartRun { task, .. } => {
                    assert!(!self.driver_evacuated[index], "{task} starts in vain");
                    self.starts.push((index, task.clone()));
                    self.start_times.push(self.now);
                    self.running.push((index, task));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, connection: ConnectionId, delivery: Delivery) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.messages.push_back(delivery);
        }
    }
}
