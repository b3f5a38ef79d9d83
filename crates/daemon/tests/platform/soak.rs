//! Random faults, in sequence and overlapping, from one plan per seed.
//!
//! `PLATFORM_SOAK_SEEDS=1000..1050 cargo test -p dfs-daemon --test platform soak` runs other seeds than CI does.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::runtime::Handle;
use tokio::task::spawn_blocking;

use crate::callers::Callers;
use crate::callers::Load;
use crate::client;
use crate::daemon::Daemon;
use crate::daemon::Signal;
use crate::judge::find_violations;
use crate::pool::Pool;
use crate::relay::LinkState;
use crate::settings::PREFIX;
use crate::settings::config;
use crate::wait::WAIT_TIMEOUT;

/// Seeds that CI runs, besides [`REGRESSIONS`].
const CI_SEEDS: Range<u64> = 1..3;
/// Seeds that failed at some time.
///
/// - 3 and 2000: runs that lapse while a listener fails count as crashes of their tasks; with one real crash more the
///   queue is contained, and its jobs are refused for a minute.
/// - 2010 and 2011: the same after two real crashes under one task.
const REGRESSIONS: &[u64] = &[3, 2000, 2010, 2011];
const SEEDS_AT_ONCE: usize = 4;
const ENTRIES: usize = 3;
const WORKERS: usize = 5;
const LABELS: &[&str] = &["a", "b"];
const LOAD: Load = Load {
    callers: 8,
    labels: LABELS,
};
const STEPS_PER_PLAN: usize = 12;
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_GAP_MS: u64 = 700;
/// Longer than every lease and shorter than the deadline of the jobs.
const MAX_FAULT_MS: u64 = 2_500;
/// Time that a process has from SIGTERM to SIGKILL.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Shortest time from the first report of a worker that drains to its end.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const LISTENER_FAULTS: [LinkState; 4] = [
    LinkState::Refused,
    LinkState::NewRefused,
    LinkState::Reset,
    LinkState::Blocked,
];
/// Time after a fault in which the loss of an end may still show.
const AFTERMATH: Duration = Duration::from_secs(2);
const LATE_RATE: f64 = 0.5;
const LOSS_RATE: f64 = 0.3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Entry(usize),
    Agent(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill(Process),
    Pause(Process),
    Terminate(Process),
    Hangup(Process),
    Listener(usize, LinkState),
    Crash { worker: usize, keeps_id: bool },
    Drain(usize),
    LostResponses(usize),
    LateOrders(usize),
    SilentStore,
    StoreDown,
    ConfigChange,
}

impl Fault {
    fn draw(random: &mut SmallRng) -> Self {
        let worker = random.random_range(0..WORKERS);
        let process = if random.random_bool(0.5) {
            Process::Entry(random.random_range(0..ENTRIES))
        } else {
            Process::Agent(worker)
        };
        match random.random_range(0..16) {
            0 | 1 => Self::Kill(process),
            2 | 3 => Self::Pause(process),
            4 => Self::Terminate(process),
            5 => Self::Hangup(process),
            6..=8 => {
                let state = LISTENER_FAULTS[random.random_range(0..LISTENER_FAULTS.len())];
                Self::Listener(worker, state)
            }
            9 | 10 => Self::Crash {
                worker,
                keeps_id: random.random_bool(0.5),
            },
            11 => Self::Drain(worker),
            12 => Self::LostResponses(worker),
            13 => Self::LateOrders(worker),
            14 if random.random_bool(0.5) => Self::SilentStore,
            14 => Self::StoreDown,
            _ => Self::ConfigChange,
        }
    }

    fn duration(self, random: &mut SmallRng) -> Duration {
        let drawn = Duration::from_millis(random.random_range(50..MAX_FAULT_MS));
        match self {
            Self::Terminate(_) => STOP_TIME,
            Self::Drain(_) => DRAIN_TIME + drawn,
            _ => drawn,
        }
    }

    /// Whether the end of a run may be lost on its way from the worker to the entry.
    const fn loses_ends(self) -> bool {
        match self {
            Self::Kill(_)
            | Self::Pause(_)
            | Self::Terminate(_)
            | Self::Listener(..)
            | Self::Drain(_)
            | Self::LostResponses(_) => true,
            Self::Hangup(_)
            | Self::Crash { .. }
            | Self::LateOrders(_)
            | Self::SilentStore
            | Self::StoreDown
            | Self::ConfigChange => false,
        }
    }

    /// Whether two faults can't be told apart at the same time, since they affect the same thing.
    fn conflicts(self, other: Self) -> bool {
        let resource = |fault| match fault {
            Self::Kill(process)
            | Self::Pause(process)
            | Self::Terminate(process)
            | Self::Hangup(process) => match process {
                Process::Entry(index) => (0, index),
                Process::Agent(index) => (1, index),
            },
            Self::Listener(worker, _) | Self::Crash { worker, .. } | Self::Drain(worker) => {
                (2, worker)
            }
            Self::LostResponses(worker) => (3, worker),
            Self::LateOrders(worker) => (4, worker),
            Self::SilentStore => (5, 0),
            Self::StoreDown => (6, 0),
            Self::ConfigChange => (7, 0),
        };
        resource(self) == resource(other)
    }
}

/// A fault with its start and end since the beginning of the plan.
#[derive(Debug, Clone, Copy)]
struct Step {
    start: Duration,
    end: Duration,
    fault: Fault,
}

fn generate_plan(random: &mut SmallRng) -> Vec<Step> {
    let mut start = Duration::ZERO;
    let mut steps: Vec<Step> = Vec::new();
    while steps.len() < STEPS_PER_PLAN {
        start += Duration::from_millis(random.random_range(0..MAX_GAP_MS));
        let fault = Fault::draw(random);
        let end = start + fault.duration(random);
        let is_conflicting = |other: &Step| other.fault.conflicts(fault) && start < other.end;
        if !steps.iter().any(is_conflicting) {
            steps.push(Step { start, end, fault });
        }
    }
    steps
}

struct Play {
    pool: Pool,
    /// Number of changes of the configuration and of workers' ids.
    changes: u64,
}

impl Play {
    async fn run(&mut self, steps: &[Step]) {
        let plan_start = Instant::now();
        let starts = steps.iter().map(|step| (step.start, step.fault, true));
        let ends = steps.iter().map(|step| (step.end, step.fault, false));
        let mut events: Vec<_> = starts.chain(ends).collect();
        events.sort_by_key(|(at, _, _)| *at);
        for (at, fault, is_start) in events {
            tokio::time::sleep(at.saturating_sub(plan_start.elapsed())).await;
            if is_start {
                self.begin(fault);
            } else {
                self.end(fault).await;
            }
        }
    }

    fn begin(&mut self, fault: Fault) {
        let workers = &self.pool.workers;
        match fault {
            Fault::Kill(process) => self.daemon(process).kill(),
            Fault::Pause(process) => self.daemon(process).signal(Signal::Stop),
            Fault::Terminate(process) => self.daemon(process).signal(Signal::Terminate),
            Fault::Hangup(process) => self.daemon(process).signal(Signal::Hangup),
            Fault::Listener(worker, state) => self.pool.listeners[worker].set_state(state),
            Fault::Crash { worker, .. } => self.pool.crash_worker(worker),
            Fault::Drain(worker) => workers[worker].drain(),
            Fault::LostResponses(worker) => workers[worker].drop_responses(LOSS_RATE),
            Fault::LateOrders(worker) => workers[worker].delay_orders(LATE_RATE),
            Fault::SilentStore => self.pool.store.set_silent(true),
            Fault::StoreDown => self.pool.store.set_down(true),
            Fault::ConfigChange => {
                self.changes += 1;
                let mut config = config(4 + self.changes, PREFIX);
                config["routes"][0]["sloMs"] = json!(60 + self.changes);
                self.pool.store.put_config(&config);
            }
        }
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => self.restart(process),
            Fault::Pause(process) => self.daemon(process).signal(Signal::Continue),
            Fault::Terminate(process) => {
                self.daemon(process).kill();
                self.restart(process);
            }
            Fault::Listener(worker, _) => self.pool.listeners[worker].set_state(LinkState::Open),
            Fault::Crash { worker, keeps_id } => self.boot(worker, keeps_id),
            Fault::Drain(worker) => {
                let id = self.pool.workers[worker].id();
                let deregister = client::deregister(self.pool.agent_address(worker), &id);
                // A worker whose agent does not answer, as a paused one, ends nevertheless.
                let _ = tokio::time::timeout(DEREGISTER_TIMEOUT, deregister).await;
                self.pool.crash_worker(worker);
                self.boot(worker, false);
            }
            Fault::LostResponses(worker) => self.pool.workers[worker].drop_responses(0.0),
            Fault::LateOrders(worker) => self.pool.workers[worker].delay_orders(0.0),
            Fault::SilentStore => self.pool.store.set_silent(false),
            Fault::StoreDown => self.pool.store.set_down(false),
            Fault::Hangup(_) | Fault::ConfigChange => {}
        }
    }

    /// Starts a worker again; under another id it is of the other kind, unless it is the first one of its kind.
    fn boot(&mut self, worker: usize, keeps_id: bool) {
        let (id, label) = (
            self.pool.workers[worker].id(),
            self.pool.workers[worker].label(),
        );
        if keeps_id {
            return self.pool.boot_worker(worker, &id, &label);
        }
        self.changes += 1;
        let id = format!("i-{worker}-{}", self.changes);
        let other = LABELS
            .iter()
            .find(|other| **other != label && worker >= LABELS.len());
        self.pool
            .boot_worker(worker, &id, other.unwrap_or(&label.as_str()));
    }

    /// What is not served, and not idle, after the faults.
    async fn find_not_served(&self) -> Vec<String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut found = Vec::new();
        for index in 0..ENTRIES {
            for label in LABELS {
                if !self.pool.is_label_served(index, label, until).await {
                    found.push(format!("entry {index} does not serve label {label} again"));
                }
            }
        }
        if self.pool.ledger.running_count() > 0 {
            found.push("a task still runs".to_owned());
        }
        found
    }

    fn restart(&mut self, process: Process) {
        match process {
            Process::Entry(index) => self.pool.restart_entry(index),
            Process::Agent(index) => self.pool.restart_agent(index),
        }
    }

    fn daemon(&mut self, process: Process) -> &mut Daemon {
        match process {
            Process::Entry(index) => &mut self.pool.entries[index],
            Process::Agent(index) => &mut self.pool.agents[index],
        }
    }
}

/// Plays a seed, and returns what has violated the rules, with what entries don't serve after the faults if
/// `awaits_recovery`.
async fn run_plan(seed: u64, awaits_recovery: bool) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let steps = generate_plan(&mut random);
    let pool = Pool::start(ENTRIES, WORKERS).await;
    pool.workers[1].restart_as("i-1-b", "b");
    let last = steps.iter().map(|step| step.end).max().unwrap();
    let begin = Instant::now();
    let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), begin + last);
    let mut play = Play { pool, changes: 0 };
    play.run(&steps).await;
    let submissions = callers.finish().await;
    let is_calm = |from: Instant, to: Instant| {
        let lossy = steps.iter().filter(|step| step.fault.loses_ends());
        let mut spans = lossy.map(|step| (begin + step.start, begin + step.end + AFTERMATH));
        spans.all(|(start, end)| to < start || end < from)
    };
    let mut violations = find_violations(&play.pool.ledger, &submissions, is_calm);
    if awaits_recovery {
        violations.extend(play.find_not_served().await);
    }
    println!(
        "seed {seed}: {} jobs, {} violations",
        submissions.len(),
        violations.len()
    );
    if !violations.is_empty() {
        let logs = play.pool.keep_logs().display();
        println!(
            "seed {seed}: logs in {logs}, {steps:?}\n{}",
            violations.join("\n")
        );
    }
    violations
}

/// Seeds from the environment, or those of CI.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("PLATFORM_SOAK_SEEDS") else {
        return CI_SEEDS.collect();
    };
    let (first, end) = range
        .split_once("..")
        .expect("PLATFORM_SOAK_SEEDS is FIRST..END");
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

/// Plays all seeds, and returns those that failed.
async fn play_seeds(seeds: &[u64], awaits_recovery: bool) -> Vec<u64> {
    let mut failed = Vec::new();
    for seeds in seeds.chunks(SEEDS_AT_ONCE) {
        let spawn_plan = |seed: &u64| {
            let (seed, runtime) = (*seed, Handle::current());
            let play = move || runtime.block_on(run_plan(seed, awaits_recovery));
            (seed, spawn_blocking(play))
        };
        let plans: Vec<_> = seeds.iter().map(spawn_plan).collect();
        for (seed, plan) in plans {
            if plan.await.map_or(true, |violations| !violations.is_empty()) {
                failed.push(seed);
            }
        }
    }
    failed
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_hold_on_processes_under_random_faults() {
    let failed = play_seeds(&seeds(), false).await;
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_again_after_random_faults() {
    let failed = play_seeds(&seeds(), true).await;
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_again_after_the_faults_of_regressions() {
    let failed = play_seeds(REGRESSIONS, true).await;
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
