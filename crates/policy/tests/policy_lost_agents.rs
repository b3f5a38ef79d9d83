//! Agents that are lost or attach again: when the tasks that were placed at them are placed anew.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_ids::Slots;
use dfs_ids::TakeoverNumber;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::LoadHint;
use dfs_wire::session::Report;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const SERVICE: &str = "desk";
const LEASE_MS: u64 = 700;
const SETTLE_MS: u64 = 1_200;

/// An incarnation of the only agent, on a connection of its own.
#[derive(Clone, Copy)]
struct AgentProcess {
    connection: u64,
    incarnation: u64,
    takeover: Option<u64>,
}

/// An entry and what it has done so far.
struct TestEntry {
    entry: Entry,
    now: Moment,
    /// Connection and number of the latest session.
    session: (u64, SessionNumber),
    closed: Vec<ConnectionId>,
    /// Placed tasks and the connections on which they were sent.
    placed: Vec<(ConnectionId, TaskRef)>,
    answers: usize,
}

fn config() -> Arc<Config> {
    let group = Group {
        group: "aba".parse().unwrap(),
        share: 1.0,
        tokens_sha256: Vec::new(),
        services: vec![SERVICE.parse().unwrap()],
        targets: Vec::new(),
        max_placed: None,
    };
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory: Inventory {
            domains: vec!["lagos".parse().unwrap()],
            operators: Vec::new(),
            services: vec![Service {
                service: SERVICE.parse().unwrap(),
                requires: Resources::default(),
            }],
            groups: vec![group],
            queues: Vec::new(),
            targets: Vec::new(),
        },
        rules: Rules::default(),
    })
}

impl TestEntry {
    fn new(settle_ms: u64) -> Self {
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings {
                lease_ms: Millis::new(LEASE_MS),
                busy_renew_ms: Millis::new(200),
                fresh_ms: Millis::new(600),
                settle_ms: Millis::new(settle_ms),
                ..LeaseSettings::default()
            },
            propagation_ms: Millis::new(1_000),
        };
        let mut entry = Self {
            entry: Entry::new(identity, 7),
            now: Moment::from_millis(1),
            session: (0, SessionNumber::default()),
            closed: Vec::new(),
            placed: Vec::new(),
            answers: 0,
        };
        entry.handle(EntryEvent::Configured(config()));
        entry
    }

    /// Delivers an attach and nothing else.
    fn attach(&mut self, agent: AgentProcess) {
        let connection = ConnectionId(agent.connection);
        let attach = Attach {
            secret: String::new(),
            agent: "agent".parse().unwrap(),
            incarnation: Incarnation::new(agent.incarnation),
            domain: "lagos".parse().unwrap(),
            takeover: agent.takeover.map(TakeoverNumber::new),
        };
        self.handle(EntryEvent::Attach { connection, attach });
    }

    /// Opens a session of an agent that holds these tasks.
    fn connect(&mut self, agent: AgentProcess, tasks: Vec<TaskRef>) {
        self.attach(agent);
        let offer = Offer {
            target: "target".parse().unwrap(),
            services: vec![SERVICE.parse().unwrap()],
            slots: Slots::new(8),
            connections: 64,
            resources: Resources::default(),
            labels: Vec::new(),
        };
        let held = HeldTasks {
            tasks,
            may_lack_records: false,
        };
        let load = LoadHint {
            window: 8,
            ..LoadHint::default()
        };
        let items = vec![
            AgentItem::Held(held),
            AgentItem::Target(TargetState::Live(offer)),
            AgentItem::Load(load),
        ];
        self.report(agent, 0, items);
    }

    fn report(&mut self, agent: AgentProcess, seq: u64, items: Vec<AgentItem>) {
        let report = Report {
            session: self.session.1,
            seq,
            items,
        };
        let connection = ConnectionId(agent.connection);
        self.handle(EntryEvent::Report { connection, report });
    }

    /// Submits a task and returns it once it is placed.
    fn place(&mut self) -> TaskRef {
        self.handle(EntryEvent::Submit(Submission {
            id: "s".parse().unwrap(),
            group: "aba".parse().unwrap(),
            service: SERVICE.parse().unwrap(),
            tasks: vec![Arc::from(RawValue::from_string("1".to_owned()).unwrap())],
            deadline_ms: Some(Millis::new(60_000)),
            terms: Terms {
                repeatable: true,
                ..Terms::default()
            },
            objective_ms: None,
            max_failures: Some(1),
            constraints: Constraints::default(),
            job: None,
            queue: None,
        }));
        self.placed.pop().unwrap().1
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.handle(EntryEvent::Tick);
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = self.entry.handle(self.now, event);
        actions.extend(self.entry.flush(self.now));
        for action in actions {
            match action {
                EntryAction::Answer { .. } => self.answers += 1,
                EntryAction::Close { connection } => self.closed.push(connection),
                EntryAction::Send {
                    connection,
                    message,
                } => {
                    self.session = (connection.0, message.session);
                    self.record_placed(connection, message.items);
                }
                _ => {}
            }
        }
    }

    fn record_placed(&mut self, connection: ConnectionId, items: Vec<EntryItem>) {
        for item in items {
            let EntryItem::Place(placement) = item else {
                continue;
            };
            for task in placement.tasks {
                let task = TaskRef {
                    submission: placement.submission.clone(),
                    task: task.task,
                    attempt: task.attempt,
                };
                self.placed.push((connection, task));
            }
        }
    }
}

const fn process(incarnation: u64, takeover: Option<u64>) -> AgentProcess {
    AgentProcess {
        connection: incarnation,
        incarnation,
        takeover,
    }
}

#[googletest::test]
fn an_attach_that_was_held_up_does_not_settle_the_tasks_of_the_successor() {
    let mut entry = TestEntry::new(SETTLE_MS);
    let (gone, successor) = (process(1, Some(10)), process(2, Some(11)));
    entry.connect(successor, Vec::new());
    entry.place();
    entry.attach(gone);
    expect_that!(entry.closed, eq(&[ConnectionId(gone.connection)]));
    entry.report(successor, 1, Vec::new());
    entry.advance(100);
    expect_that!(entry.placed, is_empty());
    entry.advance(LEASE_MS + SETTLE_MS);
    expect_that!(
        entry.closed.last(),
        some(eq(&ConnectionId(successor.connection)))
    );
}

#[googletest::test]
fn tasks_wait_for_their_lease_if_the_order_of_two_incarnations_is_not_known() {
    for (takeover, other_takeover) in [(None, None), (Some(1), None), (None, Some(2))] {
        let mut entry = TestEntry::new(SETTLE_MS);
        let (silent, other) = (process(1, takeover), process(2, other_takeover));
        entry.connect(silent, Vec::new());
        entry.place();
        entry.advance(100);
        entry.connect(other, Vec::new());
        for seq in 1.. {
            entry.advance(200);
            entry.report(other, seq, Vec::new());
            let waited_ms = 100 + 200 * seq;
            if waited_ms >= LEASE_MS + SETTLE_MS {
                break;
            }
            expect_that!(entry.placed, is_empty(), "after {waited_ms} ms");
        }
        expect_that!(entry.placed.len(), eq(1));
    }
}

#[googletest::test]
fn a_later_incarnation_that_has_taken_over_gets_the_tasks_at_once() {
    let mut entry = TestEntry::new(SETTLE_MS);
    entry.connect(process(1, Some(10)), Vec::new());
    entry.place();
    entry.connect(process(2, Some(11)), Vec::new());
    expect_that!(entry.placed.len(), eq(1));
}

#[googletest::test]
fn the_tasks_of_a_displaced_incarnation_go_on_if_it_attaches_again() {
    let mut entry = TestEntry::new(SETTLE_MS);
    let (present, other) = (process(1, None), process(2, None));
    entry.connect(present, Vec::new());
    let task = entry.place();
    entry.attach(other);
    let again = AgentProcess {
        connection: 3,
        ..present
    };
    entry.connect(again, vec![task]);
    for seq in 1..=10 {
        entry.advance(200);
        entry.report(again, seq, Vec::new());
    }
    expect_that!(entry.placed, is_empty());
    expect_that!(entry.answers, eq(0));
}

#[googletest::test]
fn any_other_incarnation_settles_tasks_at_once_without_a_settle_time() {
    let mut entry = TestEntry::new(0);
    entry.connect(process(1, None), Vec::new());
    entry.place();
    entry.connect(process(2, None), Vec::new());
    expect_that!(entry.placed.len(), eq(1));
}
