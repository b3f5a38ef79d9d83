//! Checks of a finished simulation. They look only at the start log, at the answers, and at whether the
//! processes are idle; all other state of the processes is ignored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_wire::api::Answer;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;

use crate::node::Caller;
use crate::node::MAX_ATTEMPTS;
use crate::world::Simulation;

/// Time after the last fault within which every submission must be answered.
const SETTLE_US: u64 = 9_000_000;
/// Interval at which entries check deadlines.
const TICK_US: u64 = 250_000;

pub type CheckResult = Result<(), String>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(message()) }
}

/// Checks starts and answers. With `must_complete`, every accepted submission must have all its results.
pub fn check(sim: &Simulation, must_complete: bool) -> CheckResult {
    check_starts(sim)?;
    ensure(!sim.has_livelock, || {
        "the processes exchange messages without end".to_owned()
    })?;
    let callers = sim.callers.iter();
    callers
        .filter(|c| c.submission.is_some())
        .try_for_each(|caller| check_caller(sim, caller, must_complete))
}

fn check_starts(sim: &Simulation) -> CheckResult {
    let mut seen = BTreeSet::new();
    let duplicate = sim.starts.iter().find(|task| !seen.insert(*task));
    ensure(duplicate.is_none(), || {
        format!("{duplicate:?} started twice")
    })
}

fn check_caller(sim: &Simulation, caller: &Caller, must_complete: bool) -> CheckResult {
    let mut starts: BTreeMap<u32, u32> = BTreeMap::new();
    for start in &sim.starts {
        if Some(&start.submission) == caller.submission.as_ref() {
            *starts.entry(start.task.get()).or_default() += 1;
        }
    }
    let name = &caller.bodies[0];
    let max_starts = if caller.is_repeatable && !must_complete {
        MAX_ATTEMPTS
    } else {
        1
    };
    ensure(starts.values().all(|n| *n <= max_starts), || {
        format!("{name}: tasks started more than {max_starts} times: {starts:?}")
    })?;
    if caller.is_disconnected {
        return ensure(caller.answers.len() <= 1, || {
            format!("{name}: answered more than once")
        });
    }
    ensure(caller.answers.len() == 1, || {
        format!("{name}: {} answers instead of one", caller.answers.len())
    })?;
    let (answered_us, answer) = &caller.answers[0];
    check_latency(sim, caller, *answered_us)?;
    check_answer(caller, answer, &starts)?;
    let is_refused = answer.failure.as_ref().is_some_and(|failure| {
        matches!(
            failure.reason,
            FailureReason::NoTarget | FailureReason::NotReady
        )
    });
    ensure(
        !must_complete || is_refused || answer.outcome == Outcome::Complete,
        || format!("{name}: did not complete: {:?}", answer.failure),
    )
}

fn check_latency(sim: &Simulation, caller: &Caller, answered_us: u64) -> CheckResult {
    let settled_us = sim.last_disturbance_us.max(caller.submitted_us) + SETTLE_US;
    let allowed_us = caller.deadline_ms * 1_000;
    let mut deadline_us = caller.submitted_us + allowed_us;
    if sim.entries[caller.entry].clock_lag_us > 0 {
        deadline_us = deadline_us.max(sim.last_disturbance_us + allowed_us);
    }
    let deadline_us = deadline_us.max(sim.last_disturbance_us) + TICK_US;
    ensure(answered_us <= settled_us.min(deadline_us), || {
        format!(
            "{}: answered late, at {answered_us} µs: settled {settled_us}, deadline {deadline_us}",
            caller.bodies[0]
        )
    })
}

fn check_answer(caller: &Caller, answer: &Answer, starts: &BTreeMap<u32, u32>) -> CheckResult {
    let name = &caller.bodies[0];
    let results: Vec<_> = answer.results.iter().map(|body| body.get()).collect();
    let Some(failure) = &answer.failure else {
        let is_complete = answer.outcome == Outcome::Complete && results == caller.bodies;
        return ensure(is_complete, || {
            format!("{name}: unexpected results {results:?}")
        });
    };
    let is_failed = answer.outcome == Outcome::Failed && results.is_empty();
    ensure(is_failed, || {
        format!("{name}: failed, but with results {results:?}")
    })?;
    let listed: BTreeSet<_> = failure.may_have_run.iter().map(|t| t.get()).collect();
    let lists_all_starts = starts.keys().all(|task| listed.contains(task));
    ensure(
        lists_all_starts && failure.not_run == listed.is_empty(),
        || format!("{name}: {failure:?} contradicts the starts {starts:?}"),
    )
}

/// Checks that no process holds tasks any more and that the entries know all targets.
pub fn check_idle(sim: &Simulation) -> CheckResult {
    for (index, node) in sim.agents.iter().enumerate() {
        let agent = node.state.as_ref().ok_or("an agent is down")?;
        let is_idle = (agent.running(), agent.queued()) == (0, 0);
        ensure(is_idle, || {
            format!(
                "agent {index}: {} running, {} queued",
                agent.running(),
                agent.queued()
            )
        })?;
    }
    for node in &sim.entries {
        let entry = node.state.as_ref().ok_or("an entry is down")?;
        let status = entry.status(node.clock(sim.now_us));
        let queued: u64 = status.groups.iter().map(|g| g.queued + g.placed).sum();
        let placed: u64 = status.targets.iter().map(|t| t.placed).sum();
        let is_idle = (status.open_submissions, queued, placed) == (0, 0, 0);
        ensure(is_idle, || format!("an entry still holds work: {status:?}"))?;
        let known_targets = status.targets.iter().filter(|t| t.target.is_some()).count();
        ensure(known_targets == sim.targets.len(), || {
            format!("only {known_targets} targets are known: {status:?}")
        })?;
    }
    Ok(())
}
