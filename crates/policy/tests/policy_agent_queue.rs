//! What an agent queues, hands back and starts next.

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
use dfs_wire::session::IfFull;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Open;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::session::ToAgent;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const ENTRY: ConnectionId = ConnectionId(1);

/// An agent with one slot and one session.
struct Bench {
    agent: Agent,
    now: Moment,
    next_message: u64,
    started: Vec<TaskRef>,
    not_run: Vec<NotRunReason>,
}

fn body() -> Arc<RawValue> {
    Arc::from(RawValue::from_string("1".to_owned()).unwrap())
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            agent: Agent::new(Incarnation::new(1), Millis::new(60_000)),
            now: Moment::from_millis(100_000),
            next_message: 0,
            started: Vec::new(),
            not_run: Vec::new(),
        };
        bench.handle(AgentEvent::TargetAnnounced(Announcement {
            address: ([127, 0, 0, 1], 1).into(),
            lease_ms: Millis::new(3_000),
            offer: Offer {
                target: "target".parse().unwrap(),
                services: vec!["desk".parse().unwrap()],
                slots: Slots::new(1),
                connections: 8,
                resources: Resources::default(),
                labels: Vec::new(),
            },
        }));
        bench.message(EntryItem::Open(Open {
            entry: "entry".parse().unwrap(),
            incarnation: Incarnation::new(1),
            domain: "lagos".parse().unwrap(),
            resumed: false,
            lease_ms: Millis::new(3_000),
            busy_renew_ms: Millis::new(1_000),
            idle_renew_ms: Millis::new(1_000),
            version: None,
        }));
        bench.handle(AgentEvent::ReportAcked {
            connection: ENTRY,
            seq: 0,
            ack: Ack::default(),
        });
        bench
    }

    fn message(&mut self, item: EntryItem) {
        let message = ToAgent {
            session: SessionNumber::new(1),
            seq: self.next_message,
            items: vec![item],
        };
        self.next_message += 1;
        let connection = ENTRY;
        self.handle(AgentEvent::Message {
            connection,
            message,
        });
    }

    fn place(&mut self, name: &str, group: &str, left: u32, age_ms: u64, if_full: IfFull) {
        self.message(EntryItem::Place(Placement {
            submission: name.parse().unwrap(),
            group: group.parse().unwrap(),
            service: "desk".parse().unwrap(),
            time_left_ms: Millis::new(60_000),
            age_ms: Millis::new(age_ms),
            left,
            if_full,
            terms: Terms::default(),
            tasks: vec![PlacedTask {
                task: TaskIndex::new(0),
                attempt: Attempt::new(0),
                body: body(),
            }],
        }));
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = self.agent.handle(self.now, event);
        actions.extend(self.agent.flush(self.now));
        for action in actions {
            match action {
                AgentAction::StartRun { task, .. } => self.started.push(task),
                AgentAction::SendReport { report, .. } => {
                    for item in report.items {
                        if let AgentItem::NotRun(tasks) = item {
                            self.not_run.extend(tasks.iter().map(|task| task.reason));
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends every task as it starts and names them in their order.
    fn run_all(&mut self, run_us: u64) -> Vec<String> {
        let mut ended = 0;
        while ended < self.started.len() {
            let task = self.started[ended].clone();
            ended += 1;
            let end = RunEnd::Finished(TaskOutcome::Done(body()));
            self.handle(AgentEvent::RunEnded { task, run_us, end });
        }
        let names = self.started.iter().map(|task| task.submission.to_string());
        names.collect()
    }
}

#[googletest::test]
fn a_task_for_a_free_slot_is_handed_back_at_once_if_there_is_none() {
    let mut bench = Bench::new();
    bench.place("first", "aba", 1, 0, IfFull::HandBack);
    bench.place("second", "aba", 1, 0, IfFull::HandBack);
    bench.place("third", "aba", 1, 0, IfFull::Queue);
    expect_that!(bench.started.len(), eq(1));
    expect_that!(bench.not_run, eq(&vec![NotRunReason::Busy]));
    expect_that!(bench.agent.queued(), eq(1));
    expect_that!(bench.run_all(1_000), eq(&vec!["first", "third"]));
}

#[googletest::test]
fn the_least_left_goes_first_unless_the_wide_one_is_old() {
    let mut bench = Bench::new();
    bench.place("running", "aba", 1, 0, IfFull::Queue);
    bench.place("wide", "aba", 100, 0, IfFull::Queue);
    bench.place("old-wide", "aba", 100, 60_000, IfFull::Queue);
    bench.place("small", "aba", 1, 0, IfFull::Queue);
    let order = bench.run_all(1_000);
    expect_that!(order, eq(&vec!["running", "old-wide", "small", "wide"]));
}

#[googletest::test]
fn groups_take_turns_by_busy_time() {
    let mut bench = Bench::new();
    for n in 0..4 {
        bench.place(&format!("aba-{n}"), "aba", 1, 0, IfFull::Queue);
    }
    for n in 0..4 {
        bench.place(&format!("lagos-{n}"), "lagos", 1, 0, IfFull::Queue);
    }
    let order = bench.run_all(1_000);
    let of_lagos = order[..5].iter().filter(|name| name.starts_with("lagos"));
    expect_that!(of_lagos.count(), ge(2));
}
