//! Time that an entry's decision code takes for each task, from submission to result, by the number of
//! agents and groups.
//!
//! `cargo bench -p dfs-policy --bench cost`

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dfs_conf::Config;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
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
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::LoadHint;
use dfs_wire::session::Report;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use serde_json::json;
use serde_json::value::RawValue;

/// Tasks finished and submitted in one measurement.
const TASKS: u64 = 300;
/// Runs of each measurement; the fastest one is printed, as it is disturbed least.
const RUNS: u32 = 3;
/// Run time that each result reports.
const RUN_US: u64 = 300_000;

/// An entry with stand-in agents that finish placed tasks in the order of their placement.
struct Bench {
    entry: Entry,
    /// Sequence number of the next report, by agent.
    next_seq: Vec<u64>,
    /// Placed tasks with the index of their agent, oldest first.
    placed: VecDeque<(u64, TaskRef)>,
}

fn config(groups: u64) -> Arc<Config> {
    let digest = |n: u64| format!("{n:064x}");
    let group = |n| {
        json!({
            "group": format!("g{n}"), "share": 1.0, "tokens_sha256": [digest(n)],
            "services": ["desk"],
        })
    };
    let inventory = json!({
        "domains": ["lagos"],
        "operators": [],
        "services": [{ "service": "desk" }],
        "groups": (0..groups).map(group).collect::<Vec<_>>(),
    });
    Arc::new(Config {
        version: dfs_ids::ConfigVersion::new(1),
        inventory: serde_json::from_value(inventory).expect("the inventory is valid"),
        rules: Rules::default(),
    })
}

impl Bench {
    fn new(agents: u64, groups: u64, window: u32) -> Self {
        let identity = Identity {
            entry: "entry".parse().expect("the name is valid"),
            domain: "lagos".parse().expect("the name is valid"),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings::default(),
            propagation_ms: Millis::new(1_000),
        };
        let mut bench = Self {
            entry: Entry::new(identity, 1),
            next_seq: Vec::new(),
            placed: VecDeque::new(),
        };
        bench.handle(EntryEvent::Configured(config(groups)));
        for agent in 0..agents {
            bench.attach(agent, window);
        }
        bench
    }

    fn attach(&mut self, agent: u64, window: u32) {
        let attach = Attach {
            secret: String::new(),
            agent: format!("agent-{agent:05}")
                .parse()
                .expect("the name is valid"),
            incarnation: Incarnation::new(agent + 1),
            domain: "lagos".parse().expect("the name is valid"),
            takeover: None,
        };
        let connection = ConnectionId(agent);
        self.handle(EntryEvent::Attach { connection, attach });
        self.next_seq.push(0);
        let offer = Offer {
            target: format!("target-{agent:05}")
                .parse()
                .expect("the name is valid"),
            services: vec!["desk".parse().expect("the name is valid")],
            slots: Slots::new(8),
            connections: 64,
            resources: Resources::default(),
            labels: Vec::new(),
        };
        let held = HeldTasks {
            tasks: Vec::new(),
            may_lack_records: false,
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
        self.report(agent, items);
    }

    fn report(&mut self, agent: u64, items: Vec<AgentItem>) {
        let seq = &mut self.next_seq[usize::try_from(agent).expect("the index fits into usize")];
        let report = Report {
            session: SessionNumber::new(agent + 1),
            seq: *seq,
            items,
        };
        *seq += 1;
        let connection = ConnectionId(agent);
        self.handle(EntryEvent::Report { connection, report });
    }

    fn submit(&mut self, number: u64, groups: u64) {
        let body = RawValue::from_string("1".to_owned()).expect("a number is valid JSON");
        self.handle(EntryEvent::Submit(Submission {
            id: SubmissionId::numbered(Incarnation::new(1), number),
            group: format!("g{}", number % groups)
                .parse()
                .expect("the name is valid"),
            service: "desk".parse().expect("the name is valid"),
            tasks: vec![Arc::from(body)],
            deadline_ms: Some(Millis::new(600_000)),
            terms: Terms::default(),
            objective_ms: None,
            max_failures: Some(1),
            constraints: Constraints::default(),
            job: None,
            queue: None,
        }));
    }

    fn finish_oldest(&mut self) {
        let Some((agent, task)) = self.placed.pop_front() else {
            return;
        };
        let body = RawValue::from_string("1".to_owned()).expect("a number is valid JSON");
        let result = TaskResult {
            task,
            wait_us: 0,
            run_us: RUN_US,
            outcome: TaskOutcome::Done(Arc::from(body)),
        };
        self.report(agent, vec![AgentItem::Results(vec![result])]);
    }

    fn handle(&mut self, event: EntryEvent) {
        let now = Moment::from_millis(1);
        let mut actions = self.entry.handle(now, event);
        actions.extend(self.entry.flush(now));
        for action in actions {
            let EntryAction::Send {
                connection,
                message,
            } = action
            else {
                continue;
            };
            for item in message.items {
                if let EntryItem::Place(placement) = item {
                    let submission = placement.submission;
                    let task_ref = |placed: &dfs_wire::session::PlacedTask| TaskRef {
                        submission: submission.clone(),
                        task: placed.task,
                        attempt: placed.attempt,
                    };
                    let tasks = placement.tasks.iter().map(task_ref);
                    self.placed.extend(tasks.map(|task| (connection.0, task)));
                }
            }
        }
    }
}

/// Mean time for each task while `open` submissions are open throughout.
fn measure(agents: u64, groups: u64, window: u32, open: u64) -> Duration {
    let mut bench = Bench::new(agents, groups, window);
    (0..open).for_each(|number| bench.submit(number, groups));
    let start = Instant::now();
    for number in open..open + TASKS {
        bench.finish_oldest();
        bench.submit(number, groups);
    }
    start.elapsed() / u32::try_from(TASKS).expect("the count fits into u32")
}

fn main() {
    // `cargo test --all-targets` also runs benches, but without this argument.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!("agents groups  slots free µs/task  windows full µs/task");
    for agents in [11, 100, 650, 1_300] {
        for groups in [5, 450] {
            let fastest = |window, open| {
                let runs = (0..RUNS).map(|_| measure(agents, groups, window, open));
                runs.min().unwrap_or_default().as_nanos() / 1_000
            };
            let slots_free = fastest(8, agents * 5);
            let windows_full = fastest(1, agents + 2 * groups);
            println!("{agents:6} {groups:6} {slots_free:19} {windows_full:21}");
        }
    }
}
