//! Random faults on real processes, in sequence and overlapping, from one plan per seed.
//!
//! `SOAK_SEEDS=1000..1050 cargo test -p dfs-daemon --test faults soak` runs other seeds than CI
//! does.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use dfs_ids::Millis;
use dfs_standin::Mode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::runtime::Handle;
use tokio::task::spawn_blocking;

use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::Daemon;
use crate::support::LinkState;
use crate::support::Load;
use crate::support::Signal;
use crate::support::stop_and_verify;

/// Seeds that CI runs in addition to [`REGRESSIONS`].
const CI_SEEDS: Range<u64> = 1..5;
/// Seeds that failed at some time.
///
/// - 5043 and 5049: a target of one cluster got the port of a killed target of another, and its tasks.
const REGRESSIONS: &[u64] = &[5043, 5049];
const STEPS_PER_PLAN: usize = 9;
const MAX_GAP_MS: u64 = 700;
/// Longer than every lease of a test cluster and shorter than the deadline of the load's
/// submissions.
const MAX_FAULT_MS: u64 = 2_500;
const DISRUPTIONS: [LinkState; 4] = [
    LinkState::ToServerBlocked,
    LinkState::ToClientBlocked,
    LinkState::Blocked,
    LinkState::Reset,
];
/// Longer than a configuration change takes without a fault; after it the plan continues.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from which a step is printed when it starts or ends.
const SLOW_STEP: Duration = Duration::from_secs(1);
const MAX_LOST_MESSAGES: u32 = 3;
const SLOW_MS: Millis = Millis::new(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Process {
    is_entry: bool,
    number: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill(Process),
    Pause(Process),
    Terminate(Process),
    Hangup(Process),
    TargetKilled(usize),
    /// Link between all agents and an entry.
    SessionLink(usize, LinkState),
    /// Link from an agent to its target.
    TaskLink(usize, LinkState),
    /// Link from a target to its agent.
    AnnouncementLink(usize, LinkState),
    /// Link between an entry and the table service.
    TableLink(usize, LinkState),
    StoreMode(Mode),
    LostTableMessages {
        requests: u32,
        replies: u32,
    },
    ConfigChange,
}

/// A fault, its start since the beginning of the plan, and its duration.
#[derive(Debug, Clone, Copy)]
struct Step {
    start: Duration,
    duration: Duration,
    fault: Fault,
}

fn generate_plan(rng: &mut SmallRng, options: &ClusterOptions) -> Vec<Step> {
    let mut start = Duration::ZERO;
    let mut steps: Vec<Step> = Vec::new();
    while steps.len() < STEPS_PER_PLAN {
        start += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
        let step = Step {
            start,
            duration: Duration::from_millis(rng.random_range(50..MAX_FAULT_MS)),
            fault: random_fault(rng, options),
        };
        let is_conflicting = steps.iter().any(|other| conflicts(other, &step));
        if !is_conflicting {
            steps.push(step);
        }
    }
    steps
}

/// Whether two faults would affect the same resource at the same time; all others may overlap. A
/// process that got SIGTERM stays affected to the end, since it is replaced after the last step.
fn conflicts(earlier: &Step, later: &Step) -> bool {
    let resource = |fault| match fault {
        Fault::Kill(process)
        | Fault::Pause(process)
        | Fault::Terminate(process)
        | Fault::Hangup(process) => (0, process.number, process.is_entry),
        Fault::TargetKilled(number) => (1, number, false),
        Fault::SessionLink(number, _) => (2, number, false),
        Fault::TaskLink(number, _) => (3, number, false),
        Fault::AnnouncementLink(number, _) => (4, number, false),
        Fault::TableLink(number, _) => (5, number, false),
        Fault::StoreMode(_) => (6, 0, false),
        Fault::LostTableMessages { .. } => (7, 0, false),
        Fault::ConfigChange => (8, 0, false),
    };
    let end = match earlier.fault {
        Fault::Terminate(_) => Duration::MAX,
        _ => earlier.start + earlier.duration,
    };
    resource(earlier.fault) == resource(later.fault) && later.start < end
}

fn random_fault(rng: &mut SmallRng, options: &ClusterOptions) -> Fault {
    let entry = rng.random_range(0..options.entries);
    let agent = rng.random_range(0..options.agents);
    let is_entry = rng.random_bool(0.5);
    let number = if is_entry { entry } else { agent };
    let process = Process { is_entry, number };
    let state = DISRUPTIONS[rng.random_range(0..DISRUPTIONS.len())];
    match rng.random_range(0..14) {
        0 | 1 => Fault::Kill(process),
        2 | 3 => Fault::Pause(process),
        4 => Fault::Terminate(process),
        5 => Fault::Hangup(process),
        6 => Fault::TargetKilled(agent),
        7 => Fault::SessionLink(entry, state),
        8 => Fault::TaskLink(agent, state),
        9 => Fault::AnnouncementLink(agent, state),
        10 => Fault::TableLink(entry, state),
        11 => {
            let modes = [
                Mode::Refuse,
                Mode::Hang,
                Mode::HoldWrites,
                Mode::SlowMs(SLOW_MS),
            ];
            Fault::StoreMode(modes[rng.random_range(0..modes.len())])
        }
        12 => Fault::LostTableMessages {
            requests: rng.random_range(0..=MAX_LOST_MESSAGES),
            replies: rng.random_range(0..=MAX_LOST_MESSAGES),
        },
        _ => Fault::ConfigChange,
    }
}

/// Applies the faults of a plan to a cluster.
struct FaultRunner<'a> {
    cluster: &'a mut Cluster,
    load: &'a Load,
    /// Entries whose callers may lose answers.
    lossy_entries: BTreeSet<usize>,
    /// Processes that got SIGTERM and are replaced once they have exited.
    terminating: Vec<Process>,
}

impl FaultRunner<'_> {
    async fn run(&mut self, steps: &[Step]) {
        let plan_start = Instant::now();
        let starts = steps.iter().map(|step| (step.start, step, true));
        let ends = steps
            .iter()
            .map(|step| (step.start + step.duration, step, false));
        let mut events: Vec<_> = starts.chain(ends).collect();
        events.sort_by_key(|(at, _, _)| *at);
        for (at, step, is_start) in events {
            tokio::time::sleep(at.saturating_sub(plan_start.elapsed())).await;
            let began_at = plan_start.elapsed();
            if is_start {
                self.begin(step.fault).await;
            } else {
                self.end(step.fault).await;
            }
            // Steps wait for each other, so a slow one prolongs the faults that end after it.
            let took = plan_start.elapsed().saturating_sub(began_at);
            if took > SLOW_STEP {
                let edge = if is_start { "start" } else { "end" };
                println!("{edge} of {:?} at {began_at:?} took {took:?}", step.fault);
            }
        }
        for process in std::mem::take(&mut self.terminating) {
            self.daemon(process).wait_for_exit().await;
            self.replace_process(process).await;
        }
    }

    async fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => {
                if process.is_entry {
                    self.lossy_entries.insert(process.number);
                }
                self.daemon(process).kill();
            }
            Fault::Pause(process) => self.daemon(process).signal(Signal::Stop),
            Fault::Terminate(process) => self.daemon(process).signal(Signal::Terminate),
            Fault::Hangup(process) => self.daemon(process).signal(Signal::Hangup),
            Fault::TargetKilled(number) => self.cluster.kill_target(number),
            Fault::StoreMode(mode) => self.set_store(mode).await,
            Fault::LostTableMessages { requests, replies } => {
                let table = self.cluster.platform.table.faults();
                table.lose_requests(requests);
                table.lose_replies(replies);
            }
            Fault::ConfigChange => self.change_config().await,
            Fault::SessionLink(..)
            | Fault::TaskLink(..)
            | Fault::AnnouncementLink(..)
            | Fault::TableLink(..) => {
                self.set_link(fault, None);
            }
        }
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => self.replace_process(process).await,
            Fault::Pause(process) => self.daemon(process).signal(Signal::Continue),
            // Its drain may depend on a link that is still disrupted.
            Fault::Terminate(process) => self.terminating.push(process),
            Fault::TargetKilled(number) => self.cluster.replace_target(number).await,
            Fault::StoreMode(_) => self.set_store(Mode::Normal).await,
            Fault::LostTableMessages { .. } => {
                let table = self.cluster.platform.table.faults();
                table.lose_requests(0);
                table.lose_replies(0);
            }
            Fault::Hangup(_) | Fault::ConfigChange => {}
            Fault::SessionLink(..)
            | Fault::TaskLink(..)
            | Fault::AnnouncementLink(..)
            | Fault::TableLink(..) => {
                self.set_link(fault, Some(LinkState::Open));
            }
        }
    }

    /// Sets the link of a fault to the state of the fault, or to `override_state`.
    fn set_link(&self, fault: Fault, override_state: Option<LinkState>) {
        let (entries, agents) = (&self.cluster.entries, &self.cluster.agents);
        let (link, state) = match fault {
            Fault::SessionLink(number, state) => (&entries[number].session_link, state),
            Fault::TableLink(number, state) => (&entries[number].table_link, state),
            Fault::TaskLink(number, state) => (&agents[number].task_link, state),
            Fault::AnnouncementLink(number, state) => (&agents[number].announcement_link, state),
            other => unreachable!("{other:?} does not affect a link"),
        };
        link.set_state(override_state.unwrap_or(state));
    }

    async fn set_store(&self, mode: Mode) {
        self.cluster.platform.table.faults().set_mode(mode).await;
        self.cluster.platform.objects.faults().set_mode(mode).await;
    }

    /// Applies new rules; the result is only printed, since concurrent faults may prevent the
    /// change.
    async fn change_config(&self) {
        let rules =
            json!({ "admission": { "deadline_part": 1.0 }, "retry": { "max_attempts": 3 } });
        let request = async {
            let base = self.cluster.config_version(0).await?;
            let change = format!("soak-{base}");
            Some(self.cluster.apply_rules(0, &change, base, &rules).await)
        };
        let reply = tokio::time::timeout(CHANGE_TIMEOUT, request).await;
        println!("configuration change: {reply:?}");
    }

    async fn replace_process(&mut self, process: Process) {
        let number = process.number;
        if process.is_entry {
            self.cluster.replace_entry(number).await;
            self.load
                .set_entry_address(number, self.cluster.entry_address(number));
        } else {
            self.cluster.replace_agent(number).await;
        }
    }

    fn daemon(&mut self, process: Process) -> &mut Daemon {
        let number = process.number;
        if process.is_entry {
            &mut self.cluster.entries[number].daemon
        } else {
            &mut self.cluster.agents[number].daemon
        }
    }
}

async fn run_plan(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let options = ClusterOptions::default();
    let steps = generate_plan(&mut rng, &options);
    println!("seed {seed}: {steps:#?}");
    let mut cluster = Cluster::start(options).await;
    let load = Load::start(&cluster, seed).await;
    let mut runner = FaultRunner {
        cluster: &mut cluster,
        load: &load,
        lossy_entries: BTreeSet::new(),
        terminating: Vec::new(),
    };
    runner.run(&steps).await;
    let lossy_entries: Vec<_> = runner.lossy_entries.into_iter().collect();
    cluster.wait_until_recovered().await;
    load.wait_for_progress().await;
    stop_and_verify(load, &cluster, &lossy_entries).await;
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return REGRESSIONS.iter().copied().chain(CI_SEEDS).collect();
    };
    let (first, end) = range.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    let runtime = Handle::current();
    let spawn_plan = |seed| {
        let runtime = runtime.clone();
        (
            seed,
            spawn_blocking(move || runtime.block_on(run_plan(seed))),
        )
    };
    let plans: Vec<_> = seeds().into_iter().map(spawn_plan).collect();
    let mut failed = Vec::new();
    for (seed, plan) in plans {
        if plan.await.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
