//! Random faults on real processes, in series and overlapping, each seed with a plan of its own.
//!
//! `SOAK_SEEDS=1000..1050 cargo test -p dfs-daemon --test faults soak` plays other seeds than CI does.

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
use crate::support::Cut;
use crate::support::Daemon;
use crate::support::Load;
use crate::support::Shape;
use crate::support::Signal;
use crate::support::judge;

/// Seeds that CI plays beside those of [`REGRESSIONS`].
const CI_SEEDS: Range<u64> = 1..5;
/// Seeds that ever failed.
const REGRESSIONS: &[u64] = &[];
const STEPS: usize = 9;
const MAX_GAP_MS: u64 = 700;
/// Past every lease of a test cluster and below the deadline of the load.
const MAX_FAULT_MS: u64 = 2_500;
const CUTS: [Cut; 4] = [Cut::ToServer, Cut::ToClient, Cut::Both, Cut::Broken];
/// Longer than a change takes without a fault; the plan goes on then.
const CHANGE_WAIT: Duration = Duration::from_millis(500);
const MAX_LOST_WRITES: u32 = 3;
const SLOW_MS: Millis = Millis::new(300);

/// One process of the cluster.
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
    TargetGone(usize),
    /// Between agents and an entry.
    Sessions(usize, Cut),
    /// From an agent to its target.
    Orders(usize, Cut),
    /// From a target to its agent.
    Heartbeats(usize, Cut),
    /// Between an entry and the table service.
    Table(usize, Cut),
    Store(Mode),
    LostWrites {
        requests: u32,
        replies: u32,
    },
    Change,
}

/// A fault and how long it lasts.
#[derive(Debug, Clone, Copy)]
struct Step {
    at: Duration,
    lasts: Duration,
    fault: Fault,
}

fn plan(random: &mut SmallRng, shape: &Shape) -> Vec<Step> {
    let mut at = Duration::ZERO;
    let mut steps: Vec<Step> = Vec::new();
    while steps.len() < STEPS {
        at += Duration::from_millis(random.random_range(0..MAX_GAP_MS));
        let step = Step {
            at,
            lasts: Duration::from_millis(random.random_range(50..MAX_FAULT_MS)),
            fault: fault(random, shape),
        };
        let is_taken = steps.iter().any(|other| clash(other, &step));
        if !is_taken {
            steps.push(step);
        }
    }
    steps
}

/// Whether two faults would act on one thing at a time; all others may overlap. A process that is told to
/// stop is replaced after the last step.
fn clash(earlier: &Step, later: &Step) -> bool {
    let thing = |fault| match fault {
        Fault::Kill(at) | Fault::Pause(at) | Fault::Terminate(at) | Fault::Hangup(at) => {
            (0, at.number, at.is_entry)
        }
        Fault::TargetGone(number) => (1, number, false),
        Fault::Sessions(number, _) => (2, number, false),
        Fault::Orders(number, _) => (3, number, false),
        Fault::Heartbeats(number, _) => (4, number, false),
        Fault::Table(number, _) => (5, number, false),
        Fault::Store(_) => (6, 0, false),
        Fault::LostWrites { .. } => (7, 0, false),
        Fault::Change => (8, 0, false),
    };
    let until = match earlier.fault {
        Fault::Terminate(_) => Duration::MAX,
        _ => earlier.at + earlier.lasts,
    };
    thing(earlier.fault) == thing(later.fault) && later.at < until
}

fn fault(random: &mut SmallRng, shape: &Shape) -> Fault {
    let entry = random.random_range(0..shape.entries);
    let agent = random.random_range(0..shape.agents);
    let is_entry = random.random_bool(0.5);
    let number = if is_entry { entry } else { agent };
    let process = Process { is_entry, number };
    let cut = CUTS[random.random_range(0..CUTS.len())];
    match random.random_range(0..14) {
        0 | 1 => Fault::Kill(process),
        2 | 3 => Fault::Pause(process),
        4 => Fault::Terminate(process),
        5 => Fault::Hangup(process),
        6 => Fault::TargetGone(agent),
        7 => Fault::Sessions(entry, cut),
        8 => Fault::Orders(agent, cut),
        9 => Fault::Heartbeats(agent, cut),
        10 => Fault::Table(entry, cut),
        11 => {
            let modes = [
                Mode::Refuse,
                Mode::Hang,
                Mode::HoldWrites,
                Mode::SlowMs(SLOW_MS),
            ];
            Fault::Store(modes[random.random_range(0..modes.len())])
        }
        12 => Fault::LostWrites {
            requests: random.random_range(0..=MAX_LOST_WRITES),
            replies: random.random_range(0..=MAX_LOST_WRITES),
        },
        _ => Fault::Change,
    }
}

/// A cluster under a plan.
struct Soak<'a> {
    cluster: &'a mut Cluster,
    load: &'a Load,
    /// Entries whose callers may lose answers.
    lost: BTreeSet<usize>,
    /// Processes that were told to stop and are replaced once they have ended.
    stopping: Vec<Process>,
}

impl Soak<'_> {
    async fn play(&mut self, steps: &[Step]) {
        let begun = Instant::now();
        let starts = steps.iter().map(|step| (step.at, step, true));
        let ends = steps.iter().map(|step| (step.at + step.lasts, step, false));
        let mut moments: Vec<_> = starts.chain(ends).collect();
        moments.sort_by_key(|(at, _, _)| *at);
        for (at, step, begins) in moments {
            tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
            if begins {
                self.begin(step.fault).await;
            } else {
                self.end(step.fault).await;
            }
        }
        for process in std::mem::take(&mut self.stopping) {
            self.daemon(process).ended().await;
            self.replace(process).await;
        }
    }

    async fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => {
                if process.is_entry {
                    self.lost.insert(process.number);
                }
                self.daemon(process).kill();
            }
            Fault::Pause(process) => self.daemon(process).signal(Signal::Stop),
            Fault::Terminate(process) => self.daemon(process).signal(Signal::Terminate),
            Fault::Hangup(process) => self.daemon(process).signal(Signal::Hangup),
            Fault::TargetGone(number) => self.cluster.kill_target(number),
            Fault::Store(mode) => self.set_store(mode).await,
            Fault::LostWrites { requests, replies } => {
                let table = self.cluster.platform.table.faults();
                table.lose_requests(requests);
                table.lose_replies(replies);
            }
            Fault::Change => self.change().await,
            Fault::Sessions(..) | Fault::Orders(..) | Fault::Heartbeats(..) | Fault::Table(..) => {
                self.cut(fault, None);
            }
        }
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(process) => self.replace(process).await,
            Fault::Pause(process) => self.daemon(process).signal(Signal::Continue),
            // It may wait for a link that is still cut.
            Fault::Terminate(process) => self.stopping.push(process),
            Fault::TargetGone(number) => self.cluster.replace_target(number).await,
            Fault::Store(_) => self.set_store(Mode::Normal).await,
            Fault::LostWrites { .. } => {
                let table = self.cluster.platform.table.faults();
                table.lose_requests(0);
                table.lose_replies(0);
            }
            Fault::Hangup(_) | Fault::Change => {}
            Fault::Sessions(..) | Fault::Orders(..) | Fault::Heartbeats(..) | Fault::Table(..) => {
                self.cut(fault, Some(Cut::Mended));
            }
        }
    }

    /// Cuts the link of a fault, or sets it to another state.
    fn cut(&self, fault: Fault, other: Option<Cut>) {
        let (entries, agents) = (&self.cluster.entries, &self.cluster.agents);
        let (link, cut) = match fault {
            Fault::Sessions(number, cut) => (&entries[number].sessions, cut),
            Fault::Table(number, cut) => (&entries[number].table, cut),
            Fault::Orders(number, cut) => (&agents[number].tasks, cut),
            Fault::Heartbeats(number, cut) => (&agents[number].announcements, cut),
            other => unreachable!("{other:?} is no fault of a link"),
        };
        link.cut(other.unwrap_or(cut));
    }

    async fn set_store(&self, mode: Mode) {
        self.cluster.platform.table.faults().set_mode(mode).await;
        self.cluster.platform.objects.faults().set_mode(mode).await;
    }

    /// Asks for other rules; whether they are accepted is left to the faults of the moment.
    async fn change(&self) {
        let rules =
            json!({ "admission": { "deadline_part": 1.0 }, "retry": { "max_attempts": 3 } });
        let asked = async {
            let base = self.cluster.version(0).await?;
            let change = format!("soak-{base}");
            Some(self.cluster.apply(0, &change, base, &rules).await)
        };
        let answer = tokio::time::timeout(CHANGE_WAIT, asked).await;
        println!("change of the rules: {answer:?}");
    }

    async fn replace(&mut self, process: Process) {
        let number = process.number;
        if process.is_entry {
            self.cluster.replace_entry(number).await;
            self.load.moved(number, self.cluster.entry_address(number));
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

async fn play(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let shape = Shape::default();
    let steps = plan(&mut random, &shape);
    println!("seed {seed}: {steps:#?}");
    let mut cluster = Cluster::start(shape).await;
    let load = Load::start(&cluster, seed).await;
    let mut soak = Soak {
        cluster: &mut cluster,
        load: &load,
        lost: BTreeSet::new(),
        stopping: Vec::new(),
    };
    soak.play(&steps).await;
    let lost: Vec<_> = soak.lost.into_iter().collect();
    cluster.recovered().await;
    load.flows().await;
    judge(load, &cluster, &lost).await;
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return REGRESSIONS.iter().copied().chain(CI_SEEDS).collect();
    };
    let (first, end) = range.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let runtime = Handle::current();
    let play = |seed| {
        let runtime = runtime.clone();
        (seed, spawn_blocking(move || runtime.block_on(play(seed))))
    };
    let plays: Vec<_> = seeds().into_iter().map(play).collect();
    let mut failed = Vec::new();
    for (seed, play) in plays {
        if play.await.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
