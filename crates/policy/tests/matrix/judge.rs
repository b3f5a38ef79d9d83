//! The judge: it sees the start log and the answers, and of the machines only that they are idle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_wire::api::Answer;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;

use crate::node::Caller;
use crate::node::MAX_ATTEMPTS;
use crate::world::World;

/// Time in which everything is known once the last fault is over.
const SETTLED_US: u64 = 9_000_000;
/// Time between two looks at deadlines.
const TICK_US: u64 = 250_000;

pub type Verdict = Result<(), String>;

fn ensure(holds: bool, fault: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(fault()) }
}

/// Judges starts and answers; `whole` if every accepted submission must have its results.
pub fn judge(world: &World, whole: bool) -> Verdict {
    judge_starts(world)?;
    ensure(!world.has_livelock, || "messages without end".to_owned())?;
    let callers = world.callers.iter();
    callers
        .filter(|c| c.submission.is_some())
        .try_for_each(|caller| judge_caller(world, caller, whole))
}

fn judge_starts(world: &World) -> Verdict {
    let mut seen = BTreeSet::new();
    let again = world.starts.iter().find(|task| !seen.insert(*task));
    ensure(again.is_none(), || format!("{again:?} started twice"))
}

fn judge_caller(world: &World, caller: &Caller, whole: bool) -> Verdict {
    let mut starts: BTreeMap<u32, u32> = BTreeMap::new();
    for start in &world.starts {
        if Some(&start.submission) == caller.submission.as_ref() {
            *starts.entry(start.task.get()).or_default() += 1;
        }
    }
    let name = &caller.bodies[0];
    let most = if caller.repeatable && !whole {
        MAX_ATTEMPTS
    } else {
        1
    };
    ensure(starts.values().all(|n| *n <= most), || {
        format!("{name}: started too often: {starts:?}")
    })?;
    if caller.is_cut_off {
        return ensure(caller.answers.len() <= 1, || format!("{name}: two answers"));
    }
    ensure(caller.answers.len() == 1, || {
        format!("{name}: {} answers", caller.answers.len())
    })?;
    let (answered_us, answer) = &caller.answers[0];
    judge_time(world, caller, *answered_us)?;
    judge_answer(caller, answer, &starts)?;
    let refused = answer.failure.as_ref().is_some_and(|failure| {
        matches!(
            failure.reason,
            FailureReason::NoTarget | FailureReason::NotReady
        )
    });
    ensure(
        !whole || refused || answer.outcome == Outcome::Complete,
        || format!("{name}: not whole: {:?}", answer.failure),
    )
}

fn judge_time(world: &World, caller: &Caller, answered_us: u64) -> Verdict {
    let settled_us = world.disturbed_us.max(caller.submitted_us) + SETTLED_US;
    let allowed_us = caller.deadline_ms * 1_000;
    let mut deadline_us = caller.submitted_us + allowed_us;
    if world.entries[caller.entry].lag_us > 0 {
        deadline_us = deadline_us.max(world.disturbed_us + allowed_us);
    }
    let deadline_us = deadline_us.max(world.disturbed_us) + TICK_US;
    ensure(answered_us <= settled_us.min(deadline_us), || {
        format!(
            "{}: answered late, at {answered_us} µs: settled {settled_us}, deadline {deadline_us}",
            caller.bodies[0]
        )
    })
}

fn judge_answer(caller: &Caller, answer: &Answer, starts: &BTreeMap<u32, u32>) -> Verdict {
    let name = &caller.bodies[0];
    let results: Vec<_> = answer.results.iter().map(|body| body.get()).collect();
    let Some(failure) = &answer.failure else {
        let whole = answer.outcome == Outcome::Complete && results == caller.bodies;
        return ensure(whole, || format!("{name}: results {results:?}"));
    };
    let is_failed = answer.outcome == Outcome::Failed && results.is_empty();
    ensure(is_failed, || format!("{name}: a failure with {results:?}"))?;
    let listed: BTreeSet<_> = failure.may_have_run.iter().map(|t| t.get()).collect();
    let is_true = starts.keys().all(|task| listed.contains(task));
    ensure(is_true && failure.not_run == listed.is_empty(), || {
        format!("{name}: {failure:?}, yet started: {starts:?}")
    })
}

/// Judges that nothing is left over once all is settled.
pub fn judge_idle(world: &World) -> Verdict {
    for (index, node) in world.agents.iter().enumerate() {
        let agent = node.machine.as_ref().ok_or("an agent is down")?;
        let idle = (agent.running(), agent.queued()) == (0, 0);
        ensure(idle, || {
            format!(
                "agent {index}: {} running, {} queued",
                agent.running(),
                agent.queued()
            )
        })?;
    }
    for node in &world.entries {
        let entry = node.machine.as_ref().ok_or("an entry is down")?;
        let status = entry.status(node.clock(world.now_us));
        let queued: u64 = status.groups.iter().map(|g| g.queued + g.placed).sum();
        let placed: u64 = status.targets.iter().map(|t| t.placed).sum();
        let idle = (status.open_submissions, queued, placed) == (0, 0, 0);
        ensure(idle, || format!("not idle: {status:?}"))?;
        let offers = status.targets.iter().filter(|t| t.target.is_some()).count();
        ensure(offers == world.targets.len(), || {
            format!("targets not known: {status:?}")
        })?;
    }
    Ok(())
}
