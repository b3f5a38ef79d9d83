//! Ejection of failing targets and detection of slow ones.

use dfs_conf::Ejection as EjectionRules;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::ejection::EjectionTracker;
use dfs_policy::speed::SpeedTracker;
use googletest::prelude::*;

const TARGETS: usize = 11;

fn agents() -> Vec<AgentId> {
    (0..TARGETS)
        .map(|n| format!("agent-{n}").parse().unwrap())
        .collect()
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Reports failures for the first `count` targets, more than enough to eject each, and a success for every
/// other one. Returns the tracker and the number of ejected targets.
fn fail_on_first(count: usize, now: Moment) -> (EjectionTracker, usize) {
    let (agents, rules) = (agents(), EjectionRules::default());
    let mut ejection = EjectionTracker::default();
    for agent in &agents[count..] {
        ejection.record_success(agent, now);
    }
    for agent in &agents[..count] {
        for _ in 0..2 * rules.failures_in_a_row {
            ejection.record_failure(&rules, agent, &agents, now);
        }
    }
    let ejected = agents
        .iter()
        .filter(|agent| ejection.is_ejected(agent, now));
    let ejected = ejected.count();
    (ejection, ejected)
}

#[googletest::test]
fn a_target_that_fails_every_task_is_ejected() {
    let (ejection, ejected) = fail_on_first(1, at(1_000));
    expect_that!(ejected, eq(1));
    let first = &agents()[0];
    let rules = EjectionRules::default();
    let interval_end = at(1_000) + rules.first_ms;
    expect_that!(ejection.is_ejected(first, interval_end), eq(false));
    expect_that!(ejection.is_on_probation(first, interval_end), eq(true));
}

#[googletest::test]
fn at_most_a_third_of_the_targets_are_ejected() {
    let (_, ejected) = fail_on_first(5, at(1_000));
    expect_that!(ejected, eq(TARGETS / 3));
}

#[googletest::test]
fn one_failure_on_probation_ejects_a_target_for_twice_as_long() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let (mut ejection, _) = fail_on_first(1, at(1_000));
    let interval_end = at(1_000) + rules.first_ms;
    ejection.record_success(&agents[1], interval_end);
    expect_that!(
        ejection.record_failure(&rules, &agents[0], &agents, interval_end),
        eq(true)
    );
    let doubled_ms = Millis::new(2 * rules.first_ms.get());
    let almost_ms = Millis::new(doubled_ms.get() - 1);
    expect_that!(
        ejection.is_ejected(&agents[0], interval_end + almost_ms),
        eq(true)
    );
    expect_that!(
        ejection.is_ejected(&agents[0], interval_end + doubled_ms),
        eq(false)
    );
}

#[googletest::test]
fn a_success_ends_the_probation() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let (mut ejection, _) = fail_on_first(1, at(1_000));
    let interval_end = at(1_000) + rules.first_ms;
    ejection.record_success(&agents[0], interval_end);
    expect_that!(
        ejection.is_on_probation(&agents[0], interval_end),
        eq(false)
    );
    expect_that!(
        ejection.record_failure(&rules, &agents[0], &agents, interval_end),
        eq(false)
    );
}

#[googletest::test]
fn tasks_that_fail_on_every_target_eject_none() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let mut ejection = EjectionTracker::default();
    for agent in agents.iter().cycle().take(40 * TARGETS) {
        ejection.record_failure(&rules, agent, &agents, at(1_000));
    }
    // A single success on one target does not make the others outliers.
    ejection.record_success(&agents[0], at(1_000));
    for agent in agents.iter().cycle().take(40 * TARGETS) {
        let ejected = ejection.record_failure(&rules, agent, &agents, at(1_000));
        expect_that!(ejected, eq(false));
    }
}

#[googletest::test]
fn a_target_ten_times_slower_is_slow_until_it_may_be_rechecked() {
    let (agents, mut speeds) = (agents(), SpeedTracker::default());
    for _ in 0..20 {
        speeds.record_finished(&agents[0], 10.0, at(0));
        speeds.record_finished(&agents[1], 1.5, at(0));
    }
    expect_that!(speeds.is_slow(&agents[0], 0, at(1)), eq(true));
    expect_that!(speeds.is_slow(&agents[1], 0, at(1)), eq(false));
    let recheck_at = at(120_000);
    expect_that!(speeds.is_slow(&agents[0], 0, recheck_at), eq(false));
    expect_that!(speeds.is_slow(&agents[0], 1, recheck_at), eq(true));
}
