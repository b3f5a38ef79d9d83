//! One test case: runs a small workload with faults injected at given steps, waits for recovery, and checks
//! the result.

use dfs_wire::api::Outcome;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::fault::Scope;
use crate::judge::CheckResult;
use crate::judge::check;
use crate::judge::check_idle;
use crate::link::Delivery;
use crate::node::Caller;
use crate::world::Simulation;

/// Bound on the steps of one case; a normal one has a few hundred deliveries.
const MAX_STEPS: usize = 20_000;
/// Longer than all leases, the retention of results and all timeouts together.
const RECOVERY_US: u64 = 12_000_000;

/// A deadline that no single fault lasts long enough to exceed.
pub const FAR_DEADLINE_MS: u64 = 30_000;

/// A deadline that a stall exceeds.
pub const NEAR_DEADLINE_MS: u64 = 1_000;

/// A workload and the processes that it runs on, at most two entries.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    pub entries: usize,
    pub agents: usize,
    pub deadline_ms: u64,
    /// Number of submissions: every third one, from the first, is a job of several tasks, and the one after
    /// each job is repeatable.
    pub submissions: usize,
    /// Tasks of a job.
    pub width: usize,
    /// Whether all sessions are open before the first step that a fault can be injected at.
    pub is_warm: bool,
}

pub const SMALL: Workload = Workload {
    entries: 1,
    agents: 2,
    deadline_ms: FAR_DEADLINE_MS,
    submissions: 3,
    width: 2,
    is_warm: false,
};

impl Workload {
    /// Builds the processes and submits everything.
    pub fn start(&self) -> Simulation {
        let mut sim = Simulation::new(self.entries, self.agents);
        if self.is_warm {
            sim.run_for(1_000_000);
        }
        for n in 0..self.submissions {
            let tasks = if n % 3 == 0 { self.width } else { 1 };
            let caller = Caller::new(n % self.entries, &format!("s{n}"), tasks, n % 3 == 1);
            let deadline_ms = self.deadline_ms;
            let delay_us = if self.is_warm { 0 } else { 1_000 };
            sim.submit(
                delay_us,
                Caller {
                    deadline_ms,
                    ..caller
                },
            );
        }
        sim
    }

    /// Names of the steps of a run without faults, until nothing is in flight.
    pub fn steps(&self) -> Vec<&'static str> {
        let mut sim = self.start();
        let mut steps = Vec::new();
        while !sim.in_flight.is_empty() {
            steps.extend(sim.next_key().map(|key| step_name(&sim.in_flight[&key])));
            sim.step();
        }
        steps
    }

    /// Every combination of one of the kinds with a process, link or caller in its scope.
    pub fn faults(&self, kinds: &[Kind]) -> Vec<Fault> {
        let count = |scope, needed, n| if scope == needed { n } else { 1 };
        let mut faults = Vec::new();
        for kind in kinds.iter().copied() {
            let scope = kind.scope();
            let is_link = scope == Scope::Link;
            let entries = if is_link {
                self.entries
            } else {
                count(scope, Scope::Entry, self.entries)
            };
            let agents = if is_link {
                self.agents
            } else {
                count(scope, Scope::Agent, self.agents)
            };
            for entry in 0..entries {
                for agent in 0..agents {
                    for caller in 0..count(scope, Scope::Caller, self.submissions) {
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

/// Runs a workload, injecting each fault before the step with its number.
pub fn run(workload: &Workload, faults: &[(usize, Fault)]) -> CheckResult {
    let mut sim = workload.start();
    let mut step = 0;
    let mut remaining = faults.iter().peekable();
    for _ in 0..MAX_STEPS {
        while sim.next_key().is_some()
            && let Some((_, fault)) = remaining.next_if(|(at, _)| *at <= step)
        {
            sim.inject(*fault);
        }
        step += usize::from(sim.step());
        let is_quiet = sim.in_flight.is_empty() && sim.recoveries.is_empty();
        if is_quiet && (remaining.peek().is_none() || is_answered(&sim)) {
            break;
        }
    }
    settle(&mut sim);
    let is_harmless = faults.iter().all(|(_, fault)| fault.kind.is_harmless());
    let must_complete = is_harmless && workload.deadline_ms >= FAR_DEADLINE_MS;
    check(&sim, must_complete)?;
    check_idle(&sim)?;
    check_new_work(&mut sim)
}

fn is_answered(sim: &Simulation) -> bool {
    sim.callers
        .iter()
        .all(|c| !c.answers.is_empty() || c.is_disconnected)
}

/// Lets time pass until all callers are answered and every lease granted during the faults has expired.
fn settle(sim: &mut Simulation) {
    for _ in 0..MAX_STEPS {
        if is_answered(sim) && sim.recoveries.is_empty() {
            break;
        }
        sim.step();
    }
    sim.run_for(RECOVERY_US);
}

/// Checks that each entry completes a new job that is wider than one target.
fn check_new_work(sim: &mut Simulation) -> CheckResult {
    let before = sim.callers.len();
    for entry in 0..sim.entries.len() {
        sim.submit(0, Caller::new(entry, "new", 5, false));
    }
    sim.run_for(4_000_000);
    let outcomes: Vec<_> = sim.callers[before..]
        .iter()
        .map(|c| c.answers.first().map(|(_, answer)| answer.outcome))
        .collect();
    if outcomes
        .iter()
        .any(|outcome| *outcome != Some(Outcome::Complete))
    {
        return Err(format!("new jobs did not complete: {outcomes:?}"));
    }
    check(sim, false)?;
    check_idle(sim)
}

fn step_name(delivery: &Delivery) -> &'static str {
    match delivery {
        Delivery::Submit(_) => "submission received",
        Delivery::Cancel(_) => "cancellation received",
        Delivery::Attach(_) => "attach received",
        Delivery::Message(_, message) => match message.items.first() {
            Some(EntryItem::Open(_)) => "open received",
            Some(EntryItem::Place(_)) => "placement received",
            _ => "other message received",
        },
        Delivery::StartRun { .. } => "start received by the target",
        Delivery::RunEnded { .. } => "end of run received by the agent",
        Delivery::Report(_, report) => {
            let has_results = |i: &AgentItem| matches!(i, AgentItem::Results(_));
            match report.items.first() {
                Some(AgentItem::Held(_)) => "held list received",
                _ if report.items.iter().any(has_results) => "result received",
                _ => "other report received",
            }
        }
        Delivery::Reply(..) => "acknowledgement received",
        Delivery::ConnectionLostAtEntry(_) | Delivery::ConnectionLostAtAgent(_) => {
            "connection loss observed"
        }
    }
}
