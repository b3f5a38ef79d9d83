//! Ejection of targets and slow targets.

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

/// Every target does well except the first ones, which fail as often as it takes.
fn fail_first(count: usize, now: Moment) -> (EjectionTracker, usize) {
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
fn a_target_that_fails_everything_is_set_aside() {
    let (ejection, ejected) = fail_first(1, at(1_000));
    expect_that!(ejected, eq(1));
    let first = &agents()[0];
    let rules = EjectionRules::default();
    let back = at(1_000) + rules.first_ms;
    expect_that!(ejection.is_ejected(first, back), eq(false));
    expect_that!(ejection.is_on_probation(first, back), eq(true));
}

#[googletest::test]
fn at_most_a_third_of_the_targets_are_set_aside() {
    let (_, ejected) = fail_first(5, at(1_000));
    expect_that!(ejected, eq(TARGETS / 3));
}

#[googletest::test]
fn one_failure_on_trial_sets_a_target_aside_for_twice_as_long() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let (mut ejection, _) = fail_first(1, at(1_000));
    let back = at(1_000) + rules.first_ms;
    ejection.record_success(&agents[1], back);
    expect_that!(
        ejection.record_failure(&rules, &agents[0], &agents, back),
        eq(true)
    );
    let twice = Millis::new(2 * rules.first_ms.get());
    let almost = Millis::new(twice.get() - 1);
    expect_that!(ejection.is_ejected(&agents[0], back + almost), eq(true));
    expect_that!(ejection.is_ejected(&agents[0], back + twice), eq(false));
}

#[googletest::test]
fn a_success_ends_the_trial() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let (mut ejection, _) = fail_first(1, at(1_000));
    let back = at(1_000) + rules.first_ms;
    ejection.record_success(&agents[0], back);
    expect_that!(ejection.is_on_probation(&agents[0], back), eq(false));
    expect_that!(
        ejection.record_failure(&rules, &agents[0], &agents, back),
        eq(false)
    );
}

#[googletest::test]
fn work_that_fails_everywhere_sets_nobody_aside() {
    let (agents, rules) = (agents(), EjectionRules::default());
    let mut ejection = EjectionTracker::default();
    for agent in agents.iter().cycle().take(40 * TARGETS) {
        ejection.record_failure(&rules, agent, &agents, at(1_000));
    }
    // One good task among many bad ones does not make the other targets bad.
    ejection.record_success(&agents[0], at(1_000));
    for agent in agents.iter().cycle().take(40 * TARGETS) {
        let ejected = ejection.record_failure(&rules, agent, &agents, at(1_000));
        expect_that!(ejected, eq(false));
    }
}

#[googletest::test]
fn a_target_ten_times_slower_counts_as_slow_until_it_is_forgotten() {
    let (agents, mut speeds) = (agents(), SpeedTracker::default());
    for _ in 0..20 {
        speeds.record_finished(&agents[0], 10.0, at(0));
        speeds.record_finished(&agents[1], 1.5, at(0));
    }
    expect_that!(speeds.is_slow(&agents[0], 0, at(1)), eq(true));
    expect_that!(speeds.is_slow(&agents[1], 0, at(1)), eq(false));
    let later = at(120_000);
    expect_that!(speeds.is_slow(&agents[0], 0, later), eq(false));
    expect_that!(speeds.is_slow(&agents[0], 1, later), eq(true));
}
