//! What an entry refuses, evicts and places, and what an agent hands back.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Order;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::SessionNumber;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::IfFull;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRun;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const SLOTS: u32 = 8;
const RUN_MS: u64 = 60;
const OBJECTIVE_MS: u64 = 100;
const DEADLINE_MS: u64 = 1_500;

/// An entry and what it has done so far.
struct Bench {
    entry: Entry,
    now: Moment,
    next_report: [u64; 2],
    refused: Vec<(SubmissionId, Failure)>,
    /// Agent, task, and whether it may be queued there.
    placed: Vec<(u64, TaskRef, IfFull)>,
}

/// A service that no live target has the resources for.
const LARGE: &str = "large";

fn config(rules: Rules) -> Arc<Config> {
    let group = |name: &str| Group {
        group: name.parse().unwrap(),
        share: 1.0,
        tokens_sha256: Vec::new(),
        services: vec!["desk".parse().unwrap(), LARGE.parse().unwrap()],
        targets: Vec::new(),
        max_placed: None,
    };
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory: Inventory {
            domains: vec!["lagos".parse().unwrap()],
            operators: Vec::new(),
            services: vec![
                Service {
                    service: "desk".parse().unwrap(),
                    requires: Resources::default(),
                },
                Service {
                    service: LARGE.parse().unwrap(),
                    requires: Resources {
                        accelerators: 1,
                        ..Resources::default()
                    },
                },
            ],
            groups: vec![group("aba"), group("lagos")],
            queues: Vec::new(),
            targets: Vec::new(),
        },
        rules,
    })
}

fn submission(name: &str, tasks: usize) -> Submission {
    let body = || Arc::from(RawValue::from_string("1".to_owned()).unwrap());
    Submission {
        id: name.parse().unwrap(),
        group: "aba".parse().unwrap(),
        service: "desk".parse().unwrap(),
        tasks: (0..tasks).map(|_| body()).collect(),
        deadline_ms: Some(Millis::new(DEADLINE_MS)),
        terms: Terms::default(),
        objective_ms: None,
        max_failures: 1,
        constraints: Constraints::default(),
        queue: None,
    }
}

impl Bench {
    fn new(rules: Rules) -> Self {
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings::default(),
        };
        let mut bench = Self {
            entry: Entry::new(identity, 7),
            now: Moment::from_millis(1),
            next_report: [0; 2],
            refused: Vec::new(),
            placed: Vec::new(),
        };
        bench.handle(EntryEvent::Configured(config(rules)));
        bench
    }

    /// Two agents with free slots and a window of so many tasks.
    fn with_agents(rules: Rules, window: u32) -> Self {
        let mut bench = Self::new(rules);
        for n in 0..2 {
            let attach = Attach {
                secret: String::new(),
                agent: format!("agent-{n}").parse::<AgentId>().unwrap(),
                incarnation: Incarnation::new(n + 1),
                domain: "lagos".parse().unwrap(),
            };
            let connection = ConnectionId(n);
            bench.handle(EntryEvent::Attach { connection, attach });
            let offer = Offer {
                target: format!("target-{n}").parse().unwrap(),
                services: vec!["desk".parse().unwrap(), LARGE.parse().unwrap()],
                slots: Slots::new(SLOTS),
                connections: 64,
                resources: Resources::default(),
                labels: Vec::new(),
            };
            let held = HeldTasks {
                tasks: Vec::new(),
                forgotten: false,
            };
            let load = LoadHint {
                window,
                ..LoadHint::default()
            };
            let items = vec![
                AgentItem::Held(held),
                AgentItem::Target(TargetState::Live(offer)),
                AgentItem::Load(load),
            ];
            bench.report(n, items);
        }
        bench
    }

    fn report(&mut self, n: u64, items: Vec<AgentItem>) {
        let index = usize::try_from(n).unwrap();
        let seq = self.next_report[index];
        self.next_report[index] += 1;
        let report = Report {
            session: SessionNumber::new(n + 1),
            seq,
            items,
        };
        let connection = ConnectionId(n);
        self.handle(EntryEvent::Report { connection, report });
    }

    fn submit(&mut self, name: &str, group: &str, tasks: usize, deadline_ms: u64) {
        self.submit_to("desk", name, group, tasks, deadline_ms);
    }

    fn submit_to(
        &mut self,
        service: &str,
        name: &str,
        group: &str,
        tasks: usize,
        deadline_ms: u64,
    ) {
        let submission = Submission {
            group: group.parse().unwrap(),
            service: service.parse().unwrap(),
            deadline_ms: Some(Millis::new(deadline_ms)),
            ..submission(name, tasks)
        };
        self.handle(EntryEvent::Submit(submission));
    }

    /// Submits tasks that should be answered within [`OBJECTIVE_MS`] and are expected to run for
    /// [`RUN_MS`].
    fn submit_due(&mut self, name: &str, tasks: usize) {
        let submission = Submission {
            terms: Terms {
                declared_ms: Millis::new(RUN_MS),
                ..Terms::default()
            },
            objective_ms: Some(Millis::new(OBJECTIVE_MS)),
            ..submission(name, tasks)
        };
        self.handle(EntryEvent::Submit(submission));
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.handle(EntryEvent::Tick);
    }

    /// Reports tasks of the first agent as done.
    fn finish(&mut self, tasks: &[TaskRef]) {
        let done = |task: &TaskRef| TaskResult {
            task: task.clone(),
            wait_us: 0,
            run_us: 1_000,
            outcome: TaskOutcome::Done(Arc::from(RawValue::from_string("1".to_owned()).unwrap())),
        };
        let results = tasks.iter().map(done).collect();
        self.report(0, vec![AgentItem::Results(results)]);
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = self.entry.handle(self.now, event);
        actions.extend(self.entry.flush(self.now));
        for action in actions {
            match action {
                EntryAction::Answer { submission, answer } => {
                    let failure = answer.failure.map(|failure| (submission, failure));
                    self.refused.extend(failure);
                }
                EntryAction::Send {
                    connection,
                    message,
                } => self.note_placed(connection.0, message.items),
                _ => {}
            }
        }
    }

    fn note_placed(&mut self, agent: u64, items: Vec<EntryItem>) {
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
                self.placed.push((agent, task, placement.if_full));
            }
        }
    }

    fn refusal_of(&self, name: &str) -> Option<&Failure> {
        let found = self.refused.iter().find(|(n, _)| n.as_str() == name);
        found.map(|(_, failure)| failure)
    }
}

#[googletest::test]
fn tasks_for_free_slots_may_be_handed_back_and_the_rest_may_be_queued() {
    let mut bench = Bench::with_agents(Rules::default(), 64);
    bench.submit("s", "aba", 20, 60_000);
    let handed_back = bench
        .placed
        .iter()
        .filter(|(_, _, f)| *f == IfFull::HandBack);
    expect_that!(handed_back.count(), eq(16));
    expect_that!(bench.placed.len(), eq(20));
}

#[googletest::test]
fn a_task_that_is_handed_back_goes_to_the_other_agent() {
    let mut bench = Bench::with_agents(Rules::default(), 64);
    bench.submit("s", "aba", 1, 60_000);
    let (agent, task, _) = bench.placed[0].clone();
    let full = LoadHint {
        load_permille: 1_000,
        stretch_permille: 0,
        window: 64,
    };
    let not_run = NotRun {
        task,
        reason: NotRunReason::Busy,
    };
    let items = vec![AgentItem::Load(full), AgentItem::NotRun(vec![not_run])];
    bench.report(agent, items);
    expect_that!(bench.placed.len(), eq(2));
    expect_that!(bench.placed[1].0, eq(1 - agent));
    expect_that!(bench.refused.is_empty(), eq(true));
}

#[googletest::test]
fn a_task_that_cannot_make_its_deadline_is_refused_at_once_as_not_run() {
    let mut bench = Bench::with_agents(Rules::default(), 64);
    for n in 0..10 {
        bench.submit(&format!("wide-{n}"), "aba", 320, 600_000);
    }
    bench.submit("late", "aba", 320, 1_000);
    let failure = bench.refusal_of("late").unwrap();
    expect_that!(failure.reason, eq(FailureReason::DeadlineUnreachable));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after_ms, some(anything()));
    // A small one goes before all of them.
    bench.submit("small", "aba", 1, 15_000);
    expect_that!(bench.refusal_of("small").is_none(), eq(true));
}

#[googletest::test]
fn a_full_queue_makes_room_at_the_cost_of_the_group_that_used_more() {
    let mut rules = Rules::default();
    rules.admission.max_queued_tasks = 30;
    let mut bench = Bench::with_agents(rules, 4);
    // The windows take eight tasks of the first one, which aba pays for.
    bench.submit("first", "aba", 18, 60_000);
    bench.submit("second", "aba", 20, 60_000);
    expect_that!(bench.refused.is_empty(), eq(true));
    bench.submit("other", "lagos", 15, 60_000);
    let failure = bench.refusal_of("second").unwrap();
    expect_that!(failure.reason, eq(FailureReason::Overloaded));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after_ms, some(anything()));
    expect_that!(bench.refusal_of("first").is_none(), eq(true));
    expect_that!(bench.refusal_of("other").is_none(), eq(true));
    // The group that has used more gets no room.
    bench.submit("third", "aba", 20, 60_000);
    expect_that!(bench.refusal_of("third").is_some(), eq(true));
}

#[googletest::test]
fn a_service_that_no_live_target_can_run_is_refused_at_once() {
    let mut bench = Bench::with_agents(Rules::default(), 64);
    bench.submit_to(LARGE, "large", "aba", 1, 60_000);
    let failure = bench.refusal_of("large").unwrap();
    expect_that!(failure.reason, eq(FailureReason::NoTarget));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.retry_after_ms, some(anything()));
}

/// Rules under which a submission of any length is admitted and no task waits at an agent.
fn patient() -> Rules {
    let mut rules = Rules::default();
    rules.admission.max_objectives = 10.0;
    rules.admission.deadline_part = 1.0;
    rules.placement.max_load = 1.0;
    rules.placement.order = Order::FirstCome;
    rules
}

#[googletest::test]
fn a_submission_behind_one_that_has_begun_is_refused_when_its_start_is_of_no_use_any_more() {
    let mut bench = Bench::with_agents(patient(), 64);
    bench.submit_due("begun", 2 * SLOTS as usize + 1);
    bench.submit_due("waiting", 1);
    bench.pass(3 * OBJECTIVE_MS - RUN_MS);
    expect_that!(bench.refused, is_empty());
    bench.pass(1);
    let refusal = bench.refusal_of("waiting").unwrap();
    expect_that!(refusal.not_run, eq(true));
    expect_that!(refusal.reason, eq(FailureReason::DeadlineUnreachable));
    expect_that!(bench.refusal_of("begun"), none());
}

#[googletest::test]
fn a_submission_whose_tasks_all_come_back_too_late_is_refused_at_once() {
    let mut bench = Bench::with_agents(patient(), 64);
    bench.submit_due("full", 2 * SLOTS as usize - 1);
    bench.submit_due("returned", 1);
    let (agent, task, _) = bench.placed.last().unwrap().clone();
    bench.pass(3 * OBJECTIVE_MS);
    expect_that!(bench.refused, is_empty());
    let reason = NotRunReason::Busy;
    bench.report(
        agent,
        vec![AgentItem::NotRun(vec![NotRun { task, reason }])],
    );
    expect_that!(bench.refusal_of("returned"), some(anything()));
}

#[googletest::test]
fn a_late_submission_that_has_begun_goes_before_one_that_is_not_late() {
    let mut bench = Bench::with_agents(patient(), 64);
    bench.submit_due("begun", 2 * SLOTS as usize + 1);
    bench.pass(OBJECTIVE_MS);
    bench.submit_due("fresh", 1);
    let at_first = bench.placed.iter().find(|(agent, _, _)| *agent == 0);
    let task = at_first.unwrap().1.clone();
    bench.finish(&[task]);
    let last = &bench.placed.last().unwrap().1;
    expect_that!(last.submission.as_str(), eq("begun"));
}

#[googletest::test]
fn an_entry_that_gets_little_of_the_room_refuses_what_it_cannot_start_in_time() {
    let mut rules = patient();
    rules.admission.max_objectives = 1.0;
    let mut bench = Bench::with_agents(rules, 64);
    bench.submit_due("first", 2 * SLOTS as usize);
    bench.handle(EntryEvent::Submit(Submission {
        terms: Terms {
            priority: Priority::new(9),
            ..Terms::default()
        },
        deadline_ms: Some(Millis::new(60_000)),
        ..submission("less-urgent", 100)
    }));
    bench.submit_due("before", 1);
    expect_that!(bench.refusal_of("before"), none());
    for _ in 0..2 * SLOTS {
        bench.pass(RUN_MS);
        let at_first = bench.placed.iter().find(|(agent, _, _)| *agent == 0);
        let task = at_first.unwrap().1.clone();
        bench.placed.retain(|(_, placed, _)| *placed != task);
        bench.finish(&[task]);
    }
    bench.submit_due("after", 1);
    let refusal = bench.refusal_of("after").unwrap();
    expect_that!(refusal.not_run, eq(true));
}
