//! Targets that are slow or on which runs stand still.

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
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;
use dfs_wire::session::IfFull;
use dfs_wire::session::Open;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::session::ToAgent;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const ENTRY: ConnectionId = ConnectionId(1);
const DECLARED_MS: u64 = 200;
const TASKS: u32 = 4;
const LEASE_MS: u64 = 700;

/// An agent with a target of 16 cores and one session.
struct Bench {
    agent: Agent,
    now: Moment,
    next_message: u64,
    /// Reports that are not acknowledged.
    reports: Vec<u64>,
    stopped: Vec<TaskRef>,
    stretch_permille: u32,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            agent: Agent::new(Incarnation::new(1), Millis::new(60_000)),
            now: Moment::from_millis(100_000),
            next_message: 0,
            reports: Vec::new(),
            stopped: Vec::new(),
            stretch_permille: 0,
        };
        bench.handle(AgentEvent::TargetAnnounced(Announcement {
            address: ([127, 0, 0, 1], 1).into(),
            lease_ms: Millis::new(60_000),
            offer: Offer {
                target: "target".parse().unwrap(),
                services: vec!["desk".parse().unwrap()],
                slots: Slots::new(1_000),
                connections: 1_000,
                resources: resources(16_000),
                labels: Vec::new(),
            },
        }));
        bench.message(EntryItem::Open(Open {
            entry: "entry".parse().unwrap(),
            incarnation: Incarnation::new(1),
            domain: "lagos".parse().unwrap(),
            resumed: false,
            lease_ms: Millis::new(LEASE_MS),
            busy_renew_ms: Millis::new(200),
            idle_renew_ms: Millis::new(1_000),
            version: None,
        }));
        bench.acknowledge();
        bench
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = self.agent.handle(self.now, event);
        actions.extend(self.agent.flush(self.now));
        for action in actions {
            match action {
                AgentAction::StopRun { task } => self.stopped.push(task),
                AgentAction::SendReport { report, .. } => {
                    self.reports.push(report.seq);
                    for item in report.items {
                        if let AgentItem::Load(hint) = item {
                            self.stretch_permille = hint.stretch_permille;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn message(&mut self, item: EntryItem) {
        let message = ToAgent {
            session: SessionNumber::new(1),
            seq: self.next_message,
            items: vec![item],
        };
        self.next_message += 1;
        self.handle(AgentEvent::Message {
            connection: ENTRY,
            message,
        });
    }

    fn acknowledge(&mut self) {
        for seq in std::mem::take(&mut self.reports) {
            self.handle(AgentEvent::ReportAcked {
                connection: ENTRY,
                seq,
                ack: Ack::default(),
            });
        }
    }

    /// Places one task of each of four submissions.
    fn place(&mut self) {
        for n in 0..TASKS {
            self.place_one(task(n));
        }
    }

    fn place_one(&mut self, task: TaskRef) {
        self.message(EntryItem::Place(Placement {
            submission: task.submission,
            group: "aba".parse().unwrap(),
            service: "desk".parse().unwrap(),
            time_left_ms: Millis::new(60_000),
            age_ms: Millis::new(0),
            left: 1,
            if_full: IfFull::Queue,
            terms: Terms {
                demand: resources(1_600),
                declared_ms: Millis::new(DECLARED_MS),
                repeatable: true,
                ..Terms::default()
            },
            tasks: vec![placed(task.task)],
        }));
    }

    /// Lets time pass, with the entry heard all the while.
    fn after(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.handle(AgentEvent::Tick);
        self.acknowledge();
    }

    fn progress(&mut self, percent: impl Fn(u32) -> u8) {
        let progress = (0..TASKS).map(|n| (task(n), percent(n))).collect();
        self.handle(AgentEvent::RunProgress(progress));
        self.acknowledge();
    }
}

fn resources(cpu_millis: u32) -> Resources {
    Resources {
        cpu_millis,
        ..Resources::default()
    }
}

fn placed(task: TaskIndex) -> PlacedTask {
    PlacedTask {
        task,
        attempt: Attempt::new(0),
        body: Arc::from(RawValue::NULL.to_owned()),
    }
}

fn task(n: u32) -> TaskRef {
    task_of(&format!("s-{n}"), n)
}

fn task_of(submission: &str, n: u32) -> TaskRef {
    TaskRef {
        submission: submission.parse().unwrap(),
        task: TaskIndex::new(n),
        attempt: Attempt::new(0),
    }
}

#[googletest::test]
fn a_target_that_runs_seven_times_as_long_says_so_while_its_runs_go_on() {
    let mut bench = Bench::new();
    bench.place();
    bench.after(100);
    bench.progress(|_| 7);
    expect_that!(bench.stretch_permille, eq(7_000));
    bench.after(20);
    bench.progress(|_| 60);
    expect_that!(bench.stretch_permille, eq(1_000));
}

#[googletest::test]
fn one_submission_whose_expected_run_time_is_too_short_makes_no_target_slow() {
    let mut bench = Bench::new();
    for n in 0..TASKS {
        bench.place_one(task_of("s", n));
    }
    bench.after(100);
    let progress = (0..TASKS).map(|n| (task_of("s", n), 7)).collect();
    bench.handle(AgentEvent::RunProgress(progress));
    bench.acknowledge();
    expect_that!(bench.stretch_permille, eq(1_000));
}

#[googletest::test]
fn a_run_that_stands_still_is_stopped_and_the_others_go_on() {
    let mut bench = Bench::new();
    bench.place();
    for step in 1..=12_u8 {
        bench.after(50);
        bench.progress(|n| if n == 0 { 10 } else { step * 5 });
    }
    expect_that!(bench.stopped, elements_are![eq(&task(0))]);
}

#[googletest::test]
fn repeatable_runs_are_stopped_when_their_entry_is_silent_past_its_lease() {
    let mut bench = Bench::new();
    bench.place();
    bench.acknowledge();
    let step_ms = 100;
    for _ in 0..LEASE_MS / step_ms - 1 {
        bench.now = bench.now + Millis::new(step_ms);
        bench.handle(AgentEvent::Tick);
    }
    expect_that!(bench.stopped.len(), eq(0));
    bench.now = bench.now + Millis::new(step_ms);
    bench.handle(AgentEvent::Tick);
    expect_that!(bench.stopped.len(), eq(4));
}

#[googletest::test]
fn a_withdrawn_run_is_stopped_if_it_may_be_repeated() {
    let mut bench = Bench::new();
    bench.place();
    bench.message(EntryItem::Withdraw(vec![task(2)]));
    expect_that!(bench.stopped, elements_are![eq(&task(2))]);
}

#[googletest::test]
fn a_new_life_of_an_entry_ends_the_runs_of_the_one_before_at_once() {
    let mut bench = Bench::new();
    bench.place();
    bench.next_message = 0;
    let open = Open {
        entry: "entry".parse().unwrap(),
        incarnation: Incarnation::new(2),
        domain: "lagos".parse().unwrap(),
        resumed: false,
        lease_ms: Millis::new(LEASE_MS),
        busy_renew_ms: Millis::new(200),
        idle_renew_ms: Millis::new(1_000),
        version: None,
    };
    let message = ToAgent {
        session: SessionNumber::new(1),
        seq: 0,
        items: vec![EntryItem::Open(open)],
    };
    bench.handle(AgentEvent::Message {
        connection: ConnectionId(2),
        message,
    });
    bench.handle(AgentEvent::Tick);
    expect_that!(bench.stopped.len(), eq(4));
}
