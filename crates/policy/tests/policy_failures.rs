//! Runs that fail and tasks that targets refuse: what counts towards the failure of a submission and against
//! a target.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Queue;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::SessionNumber;
use dfs_ids::Slots;
use dfs_ids::TakeoverNumber;
use dfs_ids::TaskIndex;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Observation;
use dfs_policy::entry::Submission;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::CrashedRun;
use dfs_wire::session::EntryItem;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRun;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::TargetCrash;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use serde_json::value::RawValue;

const AGENTS: u64 = 3;
const SERVICE: &str = "desk";
const QUEUE: &str = "quotes";

/// A configuration with a queue that has this limit of failed runs.
fn config_with_queue(version: u64, max_failures: Option<u32>) -> Arc<Config> {
    let mut config = Config::clone(&config(version));
    config.inventory.queues.push(Queue {
        queue: QUEUE.parse().unwrap(),
        host: "desk.example".to_owned(),
        prefix: "/quotes/".to_owned(),
        group: "aba".parse().unwrap(),
        service: SERVICE.parse().unwrap(),
        priority: Priority::default(),
        max_failures,
        stretch: 1.0,
        objective_ms: Millis::new(60),
    });
    Arc::new(config)
}

fn config(version: u64) -> Arc<Config> {
    let group = Group {
        group: "aba".parse().unwrap(),
        share: 1.0,
        tokens_sha256: Vec::new(),
        services: vec![SERVICE.parse().unwrap()],
        targets: Vec::new(),
        max_placed: None,
    };
    Arc::new(Config {
        version: ConfigVersion::new(version),
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

fn submission(name: &str, tasks: usize) -> Submission {
    let body = || Arc::from(RawValue::from_string("1".to_owned()).unwrap());
    Submission {
        id: name.parse().unwrap(),
        group: "aba".parse().unwrap(),
        service: SERVICE.parse().unwrap(),
        tasks: (0..tasks).map(|_| body()).collect(),
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
    }
}

/// Label that only the target of this agent has.
fn label(agent: u64) -> Label {
    format!("only-{agent}").parse().unwrap()
}

/// An entry with idle agents and what it has done so far.
struct TestEntry {
    entry: Entry,
    now: Moment,
    next_report_seq: Vec<u64>,
    /// Number of the latest session of each agent.
    sessions: Vec<u64>,
    /// Incarnation of each agent.
    incarnations: Vec<u64>,
    failures: Vec<Failure>,
    /// Tasks that are placed and not reported on yet, with their agents.
    placed: Vec<(u64, TaskRef)>,
    ejected: Vec<AgentId>,
    /// Agents that were told of a task that was given up.
    told: Vec<u64>,
}

impl TestEntry {
    fn new() -> Self {
        Self::with_lease(LeaseSettings::default())
    }

    fn with_lease(lease: LeaseSettings) -> Self {
        let agents = usize::try_from(AGENTS).unwrap();
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease,
            propagation_ms: Millis::new(1_000),
        };
        let mut entry = Self {
            entry: Entry::new(identity, 7),
            now: Moment::from_millis(1),
            next_report_seq: vec![0; agents],
            sessions: vec![0; agents],
            incarnations: vec![1; agents],
            failures: Vec::new(),
            placed: Vec::new(),
            ejected: Vec::new(),
            told: Vec::new(),
        };
        entry.handle(EntryEvent::Configured(config(1)));
        for agent in 0..AGENTS {
            entry.connect(agent);
        }
        entry
    }

    fn connect(&mut self, agent: u64) {
        self.connect_holding(agent, Vec::new());
    }

    /// Opens a session of an agent that holds these tasks.
    fn connect_holding(&mut self, agent: u64, tasks: Vec<TaskRef>) {
        let index = usize::try_from(agent).unwrap();
        self.sessions[index] = self.sessions.iter().max().unwrap() + 1;
        self.next_report_seq[index] = 0;
        let attach = Attach {
            secret: String::new(),
            agent: format!("agent-{agent}").parse().unwrap(),
            incarnation: Incarnation::new(self.incarnations[index]),
            domain: "lagos".parse().unwrap(),
            takeover: Some(TakeoverNumber::new(self.incarnations[index])),
        };
        let connection = ConnectionId(agent);
        self.handle(EntryEvent::Attach { connection, attach });
        let offer = Offer {
            target: format!("target-{agent}").parse().unwrap(),
            services: vec![SERVICE.parse().unwrap()],
            slots: Slots::new(8),
            connections: 64,
            resources: Resources::default(),
            labels: vec![label(agent)],
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
        self.report(agent, items);
    }

    fn report(&mut self, agent: u64, items: Vec<AgentItem>) {
        let index = usize::try_from(agent).unwrap();
        let seq = &mut self.next_report_seq[index];
        let report = Report {
            session: SessionNumber::new(self.sessions[index]),
            seq: *seq,
            items,
        };
        *seq += 1;
        let connection = ConnectionId(agent);
        self.handle(EntryEvent::Report { connection, report });
    }

    fn submit(&mut self, submission: Submission) {
        self.handle(EntryEvent::Submit(submission));
    }

    /// Submits a task that only the target of this agent may run.
    fn submit_to(&mut self, name: &str, agent: u64) {
        let mut submission = submission(name, 1);
        submission.terms.label = Some(label(agent));
        self.submit(submission);
    }

    /// Reports the only placed task as refused and returns its agent.
    fn refuse_placed(&mut self) -> u64 {
        let (agent, task) = self.placed.pop().unwrap();
        self.refuse(agent, task);
        agent
    }

    fn refuse(&mut self, agent: u64, task: TaskRef) {
        let reason = NotRunReason::NotOffered;
        self.report(
            agent,
            vec![AgentItem::NotRun(vec![NotRun { task, reason }])],
        );
    }

    /// Reports the only placed task as ended.
    fn end_placed(&mut self, outcome: TaskOutcome) {
        let (agent, task) = self.placed.pop().unwrap();
        let result = TaskResult {
            task,
            wait_us: 0,
            run_us: 1_000,
            outcome,
        };
        self.report(agent, vec![AgentItem::Results(vec![result])]);
    }

    /// Reports a crash of the agent's target under the only task of a submission.
    fn crash(&mut self, agent: u64, submission: &str) {
        let run = CrashedRun {
            job: submission.parse().unwrap(),
            task: TaskIndex::new(0),
            queue: None,
            run_ms: Millis::new(10),
            is_confirmed: true,
            earlier_crashes: 0,
        };
        let crash = TargetCrash {
            number: 1,
            age_ms: Millis::default(),
            runs: vec![run],
        };
        self.report(agent, vec![AgentItem::Crashes(vec![crash])]);
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
                EntryAction::Answer { answer, .. } => self.failures.extend(answer.failure),
                EntryAction::Send {
                    connection,
                    message,
                } => self.record_placed(connection.0, message.items),
                EntryAction::Observe(Observation::TargetEjected { agent }) => {
                    self.ejected.push(agent);
                }
                _ => {}
            }
        }
    }

    fn record_placed(&mut self, agent: u64, items: Vec<EntryItem>) {
        for item in items {
            if matches!(item, EntryItem::GivenUp(_)) {
                self.told.push(agent);
            }
            let EntryItem::Place(placement) = item else {
                continue;
            };
            for task in placement.tasks {
                let task = TaskRef {
                    submission: placement.submission.clone(),
                    task: task.task,
                    attempt: task.attempt,
                };
                self.placed.push((agent, task));
            }
        }
    }
}

/// Submits a task at a queue, puts `later` in force, and lets runs of the task fail. Returns how many have failed
/// when the submission does; `None` if it still goes on after 5.
fn failed_runs_until_failure(max_failures: Option<u32>, later: Arc<Config>) -> Option<u32> {
    let mut entry = TestEntry::new();
    entry.handle(EntryEvent::Configured(config_with_queue(2, max_failures)));
    entry.submit(Submission {
        max_failures,
        queue: Some(QUEUE.parse().unwrap()),
        ..submission("s", 1)
    });
    entry.handle(EntryEvent::Configured(later));
    (1..=5).find(|_| {
        entry.end_placed(TaskOutcome::Failed("failed".to_owned()));
        !entry.failures.is_empty()
    })
}

fn done() -> TaskOutcome {
    TaskOutcome::Done(Arc::from(RawValue::from_string("1".to_owned()).unwrap()))
}

#[googletest::test]
fn a_task_that_every_target_refuses_is_refused_after_one_attempt_on_each() {
    let mut entry = TestEntry::new();
    entry.submit(submission("s", 1));
    let mut refused_by: Vec<_> = (0..AGENTS).map(|_| entry.refuse_placed()).collect();
    refused_by.sort_unstable();
    expect_that!(refused_by, eq(&[0, 1, 2]));
    expect_that!(entry.placed, is_empty());
    expect_that!(entry.failures.len(), eq(1));
    expect_that!(
        entry.failures[0].reason,
        eq(FailureReason::RetriesExhausted)
    );
    expect_that!(entry.failures[0].not_run, eq(true));
}

#[googletest::test]
fn a_task_that_one_target_refuses_runs_on_another() {
    let mut entry = TestEntry::new();
    entry.submit(submission("s", 1));
    entry.refuse_placed();
    entry.end_placed(done());
    expect_that!(entry.failures, is_empty());
}

#[googletest::test]
fn a_submission_of_which_a_task_is_refused_while_others_run_is_not_answered_as_failed() {
    let mut entry = TestEntry::new();
    entry.submit(submission("s", 2));
    let refused = entry.placed[0].1.task;
    for _ in 0..AGENTS {
        let is_refused = |(_, task): &(u64, TaskRef)| task.task == refused;
        let index = entry.placed.iter().position(is_refused).unwrap();
        let (agent, task) = entry.placed.swap_remove(index);
        entry.refuse(agent, task);
    }
    expect_that!(entry.failures.len(), eq(1));
    expect_that!(
        entry.failures[0].reason,
        eq(FailureReason::RetriesExhausted)
    );
    expect_that!(entry.failures[0].not_run, eq(false));
}

#[googletest::test]
fn tasks_that_a_target_refuses_and_no_other_runs_do_not_eject_it() {
    let mut entry = TestEntry::new();
    entry.submit_to("good", 1);
    entry.end_placed(done());
    for n in 0..40 {
        entry.submit_to(&format!("bad-{n}"), 0);
        while !entry.placed.is_empty() {
            entry.refuse_placed();
        }
    }
    expect_that!(entry.ejected, is_empty());
}

#[googletest::test]
fn a_target_that_refuses_what_others_run_is_ejected() {
    let mut entry = TestEntry::new();
    for n in 0..200 {
        entry.submit(submission(&format!("s-{n}"), 1));
        while let Some((agent, _)) = entry.placed.first().cloned() {
            if agent == 0 {
                entry.refuse_placed();
            } else {
                entry.end_placed(done());
            }
        }
    }
    expect_that!(entry.failures, is_empty());
    expect_that!(
        entry.ejected,
        elements_are![eq(&"agent-0".parse::<AgentId>().unwrap())]
    );
}

#[googletest::test]
fn the_limit_of_failed_runs_is_that_of_the_queue_when_they_are_counted() {
    let failed_runs = |at_submission, later| {
        failed_runs_until_failure(at_submission, config_with_queue(3, later))
    };
    expect_that!(failed_runs(Some(1), Some(3)), some(eq(3)));
    expect_that!(failed_runs(Some(3), Some(1)), some(eq(1)));
    expect_that!(failed_runs(Some(1), None), none());
    expect_that!(failed_runs(None, Some(2)), some(eq(2)));
}

#[googletest::test]
fn the_limit_of_failed_runs_is_that_of_the_submission_once_its_queue_is_gone() {
    expect_that!(failed_runs_until_failure(Some(2), config(3)), some(eq(2)));
    expect_that!(failed_runs_until_failure(None, config(3)), none());
}

#[googletest::test]
fn a_task_that_is_handed_back_before_it_is_judged_for_a_crash_does_not_start_again() {
    let mut entry = TestEntry::new();
    entry.submit(submission("s", 1));
    let (first, _) = entry.placed[0];
    entry.crash(first, "s");
    entry.advance(100);
    entry.end_placed(TaskOutcome::Unknown("the target has exited".to_owned()));
    let (second, task) = entry.placed.pop().unwrap();
    let other = (0..AGENTS).find(|agent| *agent != first && *agent != second);
    entry.crash(other.unwrap(), "s");
    let reason = NotRunReason::Withdrawn;
    entry.report(
        second,
        vec![AgentItem::NotRun(vec![NotRun { task, reason }])],
    );
    expect_that!(entry.placed, is_empty());
    entry.advance(100);
    expect_that!(entry.placed, is_empty());
    expect_that!(entry.failures.len(), eq(1));
    expect_that!(entry.failures[0].reason, eq(FailureReason::TaskFailed));
}

#[googletest::test]
fn all_agents_are_told_of_a_task_that_is_given_up() {
    let mut entry = TestEntry::new();
    entry.submit(submission("s", 1));
    entry.crash(0, "s");
    entry.advance(100);
    entry.crash(1, "s");
    entry.advance(100);
    expect_that!(entry.failures.len(), eq(1));
    expect_that!(entry.told, eq(&[0, 1, 2]));
    entry.connect(0);
    expect_that!(entry.told, eq(&[0, 1, 2, 0]));
}

#[googletest::test]
fn a_job_is_answered_as_failed_if_another_entry_has_given_its_task_up() {
    let mut entry = TestEntry::new();
    let job = Submission {
        job: Some("s".parse().unwrap()),
        ..submission("first", 1)
    };
    entry.submit(job.clone());
    let (agent, task) = entry.placed.pop().unwrap();
    let given_up = GivenUpTask {
        job: "s".parse().unwrap(),
        task: task.task,
        crashes: 2,
        is_confirmed: true,
    };
    let reason = NotRunReason::GivenUp;
    let not_run = AgentItem::NotRun(vec![NotRun { task, reason }]);
    entry.report(agent, vec![AgentItem::GivenUp(vec![given_up]), not_run]);
    expect_that!(entry.placed, is_empty());
    expect_that!(entry.failures.len(), eq(1));
    expect_that!(entry.failures[0].reason, eq(FailureReason::TaskFailed));
    entry.submit(Submission {
        id: "second".parse().unwrap(),
        ..job
    });
    expect_that!(entry.placed, is_empty());
}

/// An entry that has placed a task at an agent and then taken the agent for lost, with the task.
fn entry_that_lost_an_agent() -> (TestEntry, u64, TaskRef) {
    let lease = LeaseSettings {
        settle_ms: Millis::new(1_200),
        ..LeaseSettings::default()
    };
    let mut entry = TestEntry::with_lease(lease);
    entry.submit(submission("s", 1));
    let (agent, task) = entry.placed.pop().unwrap();
    entry.handle(EntryEvent::ConnectionLost {
        connection: ConnectionId(agent),
    });
    entry.advance(LeaseSettings::default().lease_ms.get());
    expect_that!(entry.placed, is_empty());
    for other in (0..AGENTS).filter(|other| *other != agent) {
        entry.connect(other);
    }
    (entry, agent, task)
}

#[googletest::test]
fn the_run_of_an_agent_that_was_only_silent_is_not_started_again_elsewhere() {
    let (mut entry, agent, task) = entry_that_lost_an_agent();
    entry.connect_holding(agent, vec![task.clone()]);
    expect_that!(entry.placed, is_empty());
    entry.placed.push((agent, task));
    entry.end_placed(done());
    entry.advance(2_000);
    expect_that!(entry.placed, is_empty());
    expect_that!(entry.failures, is_empty());
}

#[googletest::test]
fn a_task_that_a_silent_agent_no_longer_holds_is_placed_again_at_once() {
    let (mut entry, agent, _) = entry_that_lost_an_agent();
    entry.connect(agent);
    expect_that!(entry.placed.len(), eq(1));
}

#[googletest::test]
fn a_task_of_an_agent_that_has_restarted_is_placed_again_at_once() {
    let (mut entry, agent, _) = entry_that_lost_an_agent();
    entry.incarnations[usize::try_from(agent).unwrap()] = 2;
    entry.connect(agent);
    expect_that!(entry.placed.len(), eq(1));
}
