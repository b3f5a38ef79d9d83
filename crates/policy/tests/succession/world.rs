//! An entry that reads versions from the store, and the agents that have it as the source of their configuration.

use std::collections::VecDeque;
use std::sync::Arc;

use dfs_conf::Adoption;
use dfs_conf::Config;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Queue;
use dfs_conf::Rules;
use dfs_conf::UpdateLog;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::SessionNumber;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::reads::DueRead;
use dfs_policy::reads::ReadId;
use dfs_policy::reads::ReadSchedule;
use dfs_policy::reads::ReadScope;
use dfs_policy::reads::ReadTiming;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::Report;
use serde_json::value::RawValue;

use crate::link::Link;

/// Of 59 agents with ten entries, those that one entry has.
const AGENTS: usize = 10;
const QUEUES: u64 = 90;
const CHANGE_INTERVAL_MS: u64 = 50;
const CHANGES: u64 = 400;
const TICK_MS: u64 = 20;
const START_MS: u64 = 10_000;
/// Time until the store has answered, and until a report has arrived.
const LATENCY_MS: u64 = 4;
/// Size of an acknowledgement with its headers.
const REPLY_BYTES: u64 = 150;
/// A row has the desired state as Base64.
const ROW_FACTOR: (u64, u64) = (4, 3);

struct Session {
    number: SessionNumber,
    next_seq: u64,
    holder: ConfigHolder,
}

struct OpenRead {
    id: ReadId,
    scope: ReadScope,
    /// Newest version that the entry had read when it sent this read.
    after: u64,
    /// When the store answers at the latest.
    until: u64,
    /// When the request reaches the store, and when the answer has arrived.
    received_at: u64,
    answer: Option<(u64, u64)>,
}

pub struct World {
    now_ms: u64,
    entry: Entry,
    holder: ConfigHolder,
    updates: UpdateLog,
    schedule: ReadSchedule,
    reads: Vec<OpenRead>,
    read_version: u64,
    link: Link<Option<Box<RawValue>>>,
    sessions: Vec<Session>,
    /// Reports on their way, with the time of their arrival.
    reports: VecDeque<(u64, usize, Vec<AgentItem>)>,
    confirmed_at_ms: Vec<u64>,
    row_bytes: u64,
    /// Longest time for which a confirmed version was not active.
    pub longest_delay_ms: Millis,
}

impl World {
    pub fn new(bound_ms: Millis) -> Self {
        let timing = ReadTiming::within(bound_ms);
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings::default(),
            propagation_ms: timing.resend_ms,
        };
        let now = Moment::from_millis(START_MS);
        let row = serde_json::to_string(&config(0)).unwrap();
        let (numerator, denominator) = ROW_FACTOR;
        let mut world = Self {
            now_ms: START_MS,
            entry: Entry::new(identity, 1),
            holder: ConfigHolder::default(),
            updates: UpdateLog::default(),
            schedule: ReadSchedule::new(timing, now),
            reads: Vec::new(),
            read_version: 0,
            link: Link::new(AGENTS),
            sessions: Vec::new(),
            reports: VecDeque::new(),
            confirmed_at_ms: vec![START_MS],
            row_bytes: row.len() as u64 * numerator / denominator,
            longest_delay_ms: Millis::default(),
        };
        world.adopt(0);
        for connection in 0..AGENTS {
            world.attach(connection);
        }
        world
    }

    /// Plays versions in quick succession until the last one is active.
    pub fn play_succession(&mut self) {
        let begins_at = self.now_ms;
        while self.active_version() < CHANGES {
            let since_ms = self.now_ms - begins_at;
            let written = self.confirmed_at_ms.len() as u64 - 1;
            if written < CHANGES && since_ms >= written * CHANGE_INTERVAL_MS {
                self.confirmed_at_ms.push(self.now_ms);
            }
            self.step();
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    fn active_version(&self) -> u64 {
        self.holder.version().unwrap_or_default().get()
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.follow_store();
        for (connection, update) in self.link.advance() {
            self.receive_update(connection, update);
        }
        while self
            .reports
            .front()
            .is_some_and(|(at, ..)| *at <= self.now_ms)
        {
            let (_, connection, items) = self.reports.pop_front().unwrap();
            self.report(connection, items);
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.handle(EntryEvent::Tick);
        }
        let next = usize::try_from(self.active_version() + 1).unwrap();
        if let Some(confirmed_at_ms) = self.confirmed_at_ms.get(next) {
            let delay_ms = Millis::new(self.now_ms - confirmed_at_ms);
            self.longest_delay_ms = self.longest_delay_ms.max(delay_ms);
        }
    }

    fn follow_store(&mut self) {
        let now = self.now();
        self.schedule.abandon_old(now);
        let schedule = &self.schedule;
        self.reads.retain(|read| schedule.is_open(read.id));
        if let Some(read) = self.schedule.start_due(now) {
            self.send_read(read);
        }
        let newest = self.confirmed_at_ms.len() as u64 - 1;
        for read in &mut self.reads {
            let is_answered = newest > read.after || self.now_ms >= read.until;
            if read.answer.is_none() && self.now_ms >= read.received_at && is_answered {
                let rows = match read.scope {
                    ReadScope::Changes => newest - read.after,
                    ReadScope::Full => 1,
                };
                let bytes = rows * self.row_bytes;
                let arrives_at = self.now_ms + self.link.response_ms(bytes);
                read.answer = Some((arrives_at, newest));
            }
        }
        let is_here = |read: &&OpenRead| read.answer.is_some_and(|(at, _)| at <= self.now_ms);
        if let Some(read) = self.reads.iter().find(is_here) {
            let (id, scope, (_, newest)) = (read.id, read.scope, read.answer.unwrap());
            let versions = usize::try_from(newest - self.read_version).unwrap();
            let versions = match scope {
                ReadScope::Changes => versions,
                ReadScope::Full => versions.min(1),
            };
            self.schedule.on_versions(now, id, scope, versions);
            self.read_version = newest;
            self.reads.retain(|read| read.id > id);
            self.adopt(newest);
        }
    }

    fn send_read(&mut self, read: DueRead) {
        let received_at = self.now_ms + self.link.packet_wait_ms() + LATENCY_MS;
        self.reads.push(OpenRead {
            id: read.id,
            scope: read.scope,
            after: self.read_version,
            until: received_at + read.wait_ms.get(),
            received_at,
            answer: None,
        });
    }

    fn adopt(&mut self, version: u64) {
        let previous = self.holder.current().cloned();
        let update = ConfigUpdate::Full(Box::new(config(version)));
        let Ok(Adoption::Adopted(_)) = self.holder.apply_update(update) else {
            return;
        };
        let current = Arc::clone(self.holder.current().unwrap());
        self.updates
            .record(previous.as_deref(), &current, Vec::new());
        self.handle(EntryEvent::Configured(current));
    }

    fn attach(&mut self, connection: usize) {
        self.sessions.push(Session {
            number: SessionNumber::new(connection as u64 + 1),
            next_seq: 0,
            holder: self.holder.clone(),
        });
        self.handle(EntryEvent::Attach {
            connection: ConnectionId(connection as u64),
            attach: Attach {
                secret: "secret".to_owned(),
                agent: format!("agent-{connection}").parse().unwrap(),
                incarnation: Incarnation::new(2 + connection as u64),
                domain: "lagos".parse().unwrap(),
                takeover: None,
            },
        });
        let held = HeldTasks {
            tasks: Vec::new(),
            may_lack_records: false,
        };
        let version = AgentItem::Version(ConfigVersion::new(0), true);
        self.report(connection, vec![AgentItem::Held(held), version]);
    }

    fn report(&mut self, connection: usize, items: Vec<AgentItem>) {
        let session = &mut self.sessions[connection];
        let report = Report {
            session: session.number,
            seq: session.next_seq,
            items,
        };
        session.next_seq += 1;
        let connection = ConnectionId(connection as u64);
        self.handle(EntryEvent::Report { connection, report });
    }

    /// The agent adopts an update, and reports its version.
    fn receive_update(&mut self, connection: usize, update: Option<Box<RawValue>>) {
        let Some(update) = update else { return };
        let update: ConfigUpdate = serde_json::from_str(update.get()).unwrap();
        let holder = &mut self.sessions[connection].holder;
        if let Ok(Adoption::Adopted(version)) = holder.apply_update(update) {
            let items = vec![AgentItem::Version(version, true)];
            self.reports
                .push_back((self.now_ms + LATENCY_MS, connection, items));
        }
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = self.entry.handle(self.now(), event);
        actions.extend(self.entry.flush(self.now()));
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::OfferConfig { connection, have } => {
                let current = Arc::clone(self.holder.current().unwrap());
                if let Some(update) = self.updates.update_for(have, &current) {
                    let item = EntryItem::Config(RawValue::to_owned(&update.json));
                    self.handle(EntryEvent::SendItem { connection, item });
                }
            }
            EntryAction::Send {
                connection,
                message,
            } => {
                let connection = usize::try_from(connection.0).unwrap();
                for item in message.items {
                    if let EntryItem::Config(update) = item {
                        let bytes = update.get().len() as u64;
                        self.link.send(connection, bytes, Some(update));
                    }
                }
            }
            EntryAction::Reply { connection, .. } => {
                let connection = usize::try_from(connection.0).unwrap();
                self.link.send(connection, REPLY_BYTES, None);
            }
            _ => {}
        }
    }
}

/// The configuration of a version: each one has a new queue ahead of the others, and the last of them is gone.
fn config(version: u64) -> Config {
    let queue = |number: u64| Queue {
        queue: format!("queue-{number}").parse().unwrap(),
        host: format!("host-{number}.example"),
        prefix: "/submit/".to_owned(),
        group: "members".parse().unwrap(),
        service: "desk".parse().unwrap(),
        priority: Priority::new(1),
        max_failures: Some(4),
        stretch: 1.6,
        objective_ms: Millis::new(60),
    };
    Config {
        version: ConfigVersion::new(version),
        inventory: Inventory {
            domains: vec!["lagos".parse().unwrap()],
            operators: Vec::new(),
            services: Vec::new(),
            groups: Vec::new(),
            queues: (0..QUEUES).rev().map(|age| queue(version + age)).collect(),
            targets: Vec::new(),
        },
        rules: Rules::default(),
    }
}
