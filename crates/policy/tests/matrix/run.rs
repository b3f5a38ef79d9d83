//! One case: a small load, faults at given steps, recovery, and the verdict.

use dfs_wire::api::Outcome;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;

use crate::fault::Aim;
use crate::fault::Fault;
use crate::fault::Kind;
use crate::judge::Verdict;
use crate::judge::judge;
use crate::judge::judge_idle;
use crate::link::Item;
use crate::node::Caller;
use crate::world::World;

/// Bound on one case; a normal one has a few hundred items.
const MAX_STEPS: usize = 20_000;
/// Longer than all leases, results kept and timeouts together.
const RECOVERY_US: u64 = 12_000_000;

/// A deadline that no single fault reaches.
pub const FAR_DEADLINE_MS: u64 = 30_000;

/// A deadline that a stall reaches.
pub const NEAR_DEADLINE_MS: u64 = 1_000;

/// A load of two entries at most, and when it begins.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub entries: usize,
    pub agents: usize,
    pub deadline_ms: u64,
    /// Jobs and single requests; every third one is a job, the one after it is repeatable.
    pub submissions: usize,
    /// Tasks of a job.
    pub width: usize,
    /// Whether sessions stand before the first step that is counted.
    pub is_warm: bool,
}

pub const SMALL: Load = Load {
    entries: 1,
    agents: 2,
    deadline_ms: FAR_DEADLINE_MS,
    submissions: 3,
    width: 2,
    is_warm: false,
};

impl Load {
    pub fn start(&self) -> World {
        let mut world = World::new(self.entries, self.agents);
        if self.is_warm {
            world.run_for(1_000_000);
        }
        for n in 0..self.submissions {
            let tasks = if n % 3 == 0 { self.width } else { 1 };
            let caller = Caller::new(n % self.entries, &format!("s{n}"), tasks, n % 3 == 1);
            let deadline_ms = self.deadline_ms;
            let delay_us = if self.is_warm { 0 } else { 1_000 };
            world.submit(
                delay_us,
                Caller {
                    deadline_ms,
                    ..caller
                },
            );
        }
        world
    }

    /// The steps without faults until the last acknowledgement.
    pub fn steps(&self) -> Vec<&'static str> {
        let mut world = self.start();
        let mut steps = Vec::new();
        while !world.items.is_empty() {
            steps.extend(world.next_key().map(|key| row(&world.items[&key])));
            world.step();
        }
        steps
    }

    /// Every fault at every place that this load has.
    pub fn faults(&self, kinds: &[Kind]) -> Vec<Fault> {
        let count = |aim, yes, n| if aim == yes { n } else { 1 };
        let mut faults = Vec::new();
        for kind in kinds.iter().copied() {
            let aim = kind.aim();
            let links = aim == Aim::Link;
            let entries = if links {
                self.entries
            } else {
                count(aim, Aim::Entry, self.entries)
            };
            let agents = if links {
                self.agents
            } else {
                count(aim, Aim::Agent, self.agents)
            };
            for entry in 0..entries {
                for agent in 0..agents {
                    for caller in 0..count(aim, Aim::Caller, self.submissions) {
                        faults.push(Fault {
                            kind,
                            entry,
                            agent,
                            caller,
                        });
                    }
                }
            }
        }
        faults
    }
}

/// Runs a load with faults, each before the step of its number.
pub fn run(load: &Load, faults: &[(usize, Fault)]) -> Verdict {
    let mut world = load.start();
    let mut step = 0;
    let mut next = faults.iter().peekable();
    for _ in 0..MAX_STEPS {
        while world.next_key().is_some()
            && let Some((_, fault)) = next.next_if(|(at, _)| *at <= step)
        {
            world.inject(*fault);
        }
        step += usize::from(world.step());
        let over = world.items.is_empty() && world.heals.is_empty();
        if over && (next.peek().is_none() || is_answered(&world)) {
            break;
        }
    }
    settle(&mut world);
    let harmless = faults.iter().all(|(_, fault)| fault.kind.is_harmless());
    let whole = harmless && load.deadline_ms >= FAR_DEADLINE_MS;
    judge(&world, whole)?;
    judge_idle(&world)?;
    judge_new_work(&mut world)
}

fn is_answered(world: &World) -> bool {
    world
        .callers
        .iter()
        .all(|c| !c.answers.is_empty() || c.is_cut_off)
}

/// Lets time pass until all is answered and every lease of the time of the faults is over.
fn settle(world: &mut World) {
    for _ in 0..MAX_STEPS {
        if is_answered(world) && world.heals.is_empty() {
            break;
        }
        world.step();
    }
    world.run_for(RECOVERY_US);
}

/// Work flows again: a job wider than one target and a request are answered whole.
fn judge_new_work(world: &mut World) -> Verdict {
    let before = world.callers.len();
    for entry in 0..world.entries.len() {
        world.submit(0, Caller::new(entry, "new", 5, false));
    }
    world.run_for(4_000_000);
    let outcomes: Vec<_> = world.callers[before..]
        .iter()
        .map(|c| c.answers.first().map(|(_, answer)| answer.outcome))
        .collect();
    if outcomes
        .iter()
        .any(|outcome| *outcome != Some(Outcome::Complete))
    {
        return Err(format!("new work: {outcomes:?}"));
    }
    judge(world, false)?;
    judge_idle(world)
}

/// Name of the step at which an item arrives.
fn row(item: &Item) -> &'static str {
    match item {
        Item::Submit(_) => "submission arrives",
        Item::Cancel(_) => "cancel arrives",
        Item::Attach(_) => "attach read",
        Item::Message(_, message) => match message.items.first() {
            Some(EntryItem::Open(_)) => "open read",
            Some(EntryItem::Place(_)) => "placement read",
            _ => "other message read",
        },
        Item::Start { .. } => "start read by the target",
        Item::Ended { .. } => "end read by the agent",
        Item::Report(_, report) => {
            let has_results = |i: &AgentItem| matches!(i, AgentItem::Results(_));
            match report.items.first() {
                Some(AgentItem::Held(_)) => "held list read",
                _ if report.items.iter().any(has_results) => "result read",
                _ => "other report read",
            }
        }
        Item::Reply(..) => "acknowledgement read",
        Item::LostAtEntry(_) | Item::LostAtAgent(_) => "loss seen",
    }
}
