//! The lease of an entry at an agent: what renews it, and what happens when a session is opened anew.

use std::sync::Arc;

use dfs_ids::Attempt;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_ids::Slots;
use dfs_ids::TaskIndex;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::IfFull;
use dfs_wire::session::Origin;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::SessionParams;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const LEASE_MS: u64 = 700;

/// An agent with one slot, and what it has done so far.
struct Harness {
    agent: Agent,
    now: Moment,
    /// Latest session, on the connection of the same number.
    session: u64,
    next_message_seq: u64,
    started: Vec<String>,
    stopped: Vec<String>,
    closed: Vec<ConnectionId>,
    /// Tasks of the latest list of held tasks.
    held: Vec<String>,
    /// When the entries of the active runs were last heard of.
    heard_at: Option<Moment>,
}

fn name(task: &TaskRef) -> String {
    task.submission.to_string()
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            agent: Agent::new(Incarnation::new(1), Millis::new(10_000)),
            now: Moment::from_millis(100_000),
            session: 0,
            next_message_seq: 0,
            started: Vec::new(),
            stopped: Vec::new(),
            closed: Vec::new(),
            held: Vec::new(),
            heard_at: None,
        };
        harness.handle(AgentEvent::TargetAnnounced(Announcement {
            address: ([127, 0, 0, 1], 1).into(),
            lease_ms: Millis::new(60_000),
            offer: Offer {
                target: "target".parse().unwrap(),
                services: vec!["desk".parse().unwrap()],
                slots: Slots::new(1),
                connections: 8,
                resources: Resources::default(),
                labels: Vec::new(),
            },
        }));
        harness
    }

    /// An agent that runs the task `running` and has queued the task `queued`, both placed when their entry was last
    /// heard of.
    fn with_tasks() -> Self {
        let mut harness = Self::new();
        harness.open();
        harness.acknowledge(0);
        harness.place("running");
        harness.place("queued");
        expect_that!(harness.started, elements_are![eq("running")]);
        harness
    }

    const fn connection(&self) -> ConnectionId {
        ConnectionId(self.session)
    }

    /// Reads the first message of the next session.
    fn open(&mut self) {
        self.session += 1;
        self.next_message_seq = 0;
        self.send_item(EntryItem::Open(SessionParams {
            entry: "entry".parse().unwrap(),
            incarnation: Incarnation::new(1),
            domain: "lagos".parse().unwrap(),
            resumed: self.session > 1,
            lease_ms: Millis::new(LEASE_MS),
            busy_renew_ms: Millis::new(200),
            idle_renew_ms: Millis::new(1_000),
            version: None,
        }));
    }

    fn acknowledge(&mut self, seq: u64) {
        let connection = self.connection();
        let ack = Ack::default();
        self.handle(AgentEvent::ReportAcked {
            connection,
            seq,
            ack,
        });
    }

    fn disconnect(&mut self) {
        let connection = self.connection();
        self.handle(AgentEvent::ConnectionLost { connection });
    }

    fn send_item(&mut self, item: EntryItem) {
        let message = EntryMessage {
            session: SessionNumber::new(self.session),
            seq: self.next_message_seq,
            items: vec![item],
        };
        self.next_message_seq += 1;
        let connection = self.connection();
        self.handle(AgentEvent::Message {
            connection,
            message,
        });
    }

    fn place(&mut self, submission: &str) {
        let body = RawValue::from_string("1".to_owned()).unwrap();
        self.send_item(EntryItem::Place(Placement {
            submission: submission.parse().unwrap(),
            group: "aba".parse().unwrap(),
            service: "desk".parse().unwrap(),
            time_left_ms: Millis::new(60_000),
            age_ms: Millis::default(),
            unfinished_tasks: 1,
            if_full: IfFull::Queue,
            terms: Terms {
                repeatable: true,
                ..Terms::default()
            },
            origin: Origin::default(),
            tasks: vec![PlacedTask {
                task: TaskIndex::new(0),
                attempt: Attempt::new(0),
                body: Arc::from(body),
            }],
        }));
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
    }

    fn tick(&mut self) {
        self.handle(AgentEvent::Tick);
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = self.agent.handle(self.now, event);
        actions.extend(self.agent.flush(self.now));
        for action in actions {
            match action {
                AgentAction::StartRun { task, .. } => self.started.push(name(&task)),
                AgentAction::StopRun { task } => self.stopped.push(name(&task)),
                AgentAction::CloseConnection { connection } => self.closed.push(connection),
                AgentAction::EntriesHeard { earliest } => self.heard_at = earliest,
                AgentAction::SendReport { report, .. } => {
                    if let Some(AgentItem::Held(held)) = report.items.first() {
                        self.held = held.tasks.iter().map(name).collect();
                    }
                }
                _ => {}
            }
        }
    }
}

#[googletest::test]
fn a_session_message_that_was_held_up_does_not_keep_runs_of_a_dead_entry_going() {
    let mut harness = Harness::with_tasks();
    let heard_at = harness.now;
    harness.advance(LEASE_MS - 1);
    harness.disconnect();
    harness.open();
    expect_that!(harness.heard_at, some(eq(heard_at)));
    harness.advance(1);
    harness.tick();
    expect_that!(harness.stopped, elements_are![eq("running")]);
}

#[googletest::test]
fn a_session_that_is_opened_again_within_the_lease_goes_on() {
    let mut harness = Harness::with_tasks();
    harness.advance(LEASE_MS - 100);
    harness.disconnect();
    harness.open();
    let reported_at = harness.now;
    expect_that!(
        harness.held,
        unordered_elements_are![eq("running"), eq("queued")]
    );
    harness.advance(50);
    harness.acknowledge(0);
    expect_that!(harness.heard_at, some(eq(reported_at)));
    harness.advance(LEASE_MS - 51);
    harness.tick();
    expect_that!(harness.stopped, is_empty());
    expect_that!(harness.closed, is_empty());
}

/// The list of held tasks would otherwise have the queued task that the next timer drops.
#[googletest::test]
fn a_session_that_is_opened_after_the_lease_stays_open_and_starts_only_what_is_placed_in_it() {
    let mut harness = Harness::with_tasks();
    harness.advance(LEASE_MS - 10);
    harness.disconnect();
    harness.advance(20);
    harness.open();
    expect_that!(harness.stopped, elements_are![eq("running")]);
    expect_that!(harness.held, elements_are![eq("running")]);
    let run_us = 700_000;
    let task = TaskRef {
        submission: "running".parse().unwrap(),
        task: TaskIndex::new(0),
        attempt: Attempt::new(0),
    };
    let outcome = TaskOutcome::Unknown("stopped".to_owned());
    let end = RunEnd::Finished(outcome);
    harness.handle(AgentEvent::RunEnded { task, run_us, end });
    harness.place("next");
    for _ in 0..5 {
        harness.advance(LEASE_MS);
        harness.tick();
    }
    expect_that!(harness.started, elements_are![eq("running")]);
    expect_that!(harness.closed, is_empty());
    harness.acknowledge(0);
    harness.advance(20);
    harness.tick();
    expect_that!(
        harness.started,
        elements_are![eq("running")],
        "the list was sent long ago"
    );
    harness.acknowledge(1);
    harness.tick();
    expect_that!(harness.started, elements_are![eq("running"), eq("next")]);
}

#[googletest::test]
fn the_first_session_of_an_entry_starts_tasks_once_its_list_is_acknowledged() {
    let mut harness = Harness::new();
    harness.open();
    harness.place("first");
    harness.tick();
    expect_that!(harness.started, is_empty());
    harness.advance(100);
    harness.acknowledge(0);
    expect_that!(harness.started, elements_are![eq("first")]);
    harness.advance(LEASE_MS - 101);
    harness.tick();
    expect_that!(harness.stopped, is_empty());
    harness.advance(1);
    harness.tick();
    expect_that!(harness.stopped, elements_are![eq("first")]);
}
