//! Order of submissions within a group, fair sharing among groups, choice of targets and retry budgets.

use dfs_conf::Order;
use dfs_conf::PlacementPolicy;
use dfs_conf::PlacementRules;
use dfs_conf::RetryRules;
use dfs_ids::GroupId;
use dfs_ids::Moment;
use dfs_policy::order::rank;
use dfs_policy::placement::Candidate;
use dfs_policy::placement::pick;
use dfs_policy::retry::RetryBudget;
use dfs_policy::share::ShareLedger;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 7;

fn group(name: &str) -> GroupId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[googletest::test]
fn a_small_job_goes_before_a_wide_one_until_the_wide_one_has_aged() {
    let rules = PlacementRules::default();
    let wide = rank(&rules, at(0), 320);
    expect_that!(rank(&rules, at(1_000), 1), lt(wide));
    let aged_ms = rules.ageing_ms_per_task.get() * 320;
    expect_that!(rank(&rules, at(aged_ms), 1), gt(wide));
}

#[googletest::test]
fn first_come_orders_by_arrival_only() {
    let rules = PlacementRules {
        order: Order::FirstCome,
        ..PlacementRules::default()
    };
    expect_that!(rank(&rules, at(1), 320), lt(rank(&rules, at(2), 1)));
}

#[googletest::test]
fn the_least_loaded_target_is_picked() {
    let loads = [0.5, 0.25, 0.75];
    let choices: Vec<_> = (0..)
        .zip(loads)
        .map(|(id, load)| Candidate { id, load })
        .collect();
    let mut random = SmallRng::seed_from_u64(SEED);
    let chosen = pick(PlacementPolicy::LeastWork, &choices, &mut random);
    expect_that!(chosen, some(eq(1)));
    let chosen = pick::<u32>(PlacementPolicy::TwoChoices, &[], &mut random);
    expect_that!(chosen, none());
}

#[googletest::test]
fn usage_is_proportional_to_shares() {
    let (aba, lagos) = (group("aba"), group("lagos"));
    let mut ledger = ShareLedger::default();
    ledger.set_shares([(aba.clone(), 1.0), (lagos.clone(), 3.0)]);
    ledger.activate(&aba);
    ledger.activate(&lagos);
    let mut starts_of_lagos = 0;
    for _ in 0..400 {
        let next = if ledger.normalized_usage(&aba) < ledger.normalized_usage(&lagos) {
            &aba
        } else {
            &lagos
        };
        starts_of_lagos += u32::from(next == &lagos);
        ledger.charge(next, 1_000.0);
    }
    expect_that!(starts_of_lagos, eq(300));
    expect_that!(ledger.fair_fraction(&lagos), near(0.75, 1e-9));
}

#[googletest::test]
fn an_idle_group_accumulates_no_credit() {
    let (aba, lagos) = (group("aba"), group("lagos"));
    let mut ledger = ShareLedger::default();
    ledger.activate(&aba);
    ledger.charge(&aba, 1e9);
    ledger.activate(&lagos);
    expect_that!(
        ledger.normalized_usage(&lagos),
        eq(ledger.normalized_usage(&aba))
    );
}

#[googletest::test]
fn retries_are_bounded_by_a_fraction_of_first_attempts() {
    let (aba, rules) = (group("aba"), RetryRules::default());
    let mut budget = RetryBudget::default();
    let first_attempts = 10_000;
    let mut retries = 0_u32;
    for _ in 0..first_attempts {
        budget.deposit(&rules, &aba);
        // Every attempt fails, so each task asks for as many retries as the rules allow.
        for _ in 1..rules.max_attempts {
            retries += u32::from(budget.try_withdraw(&rules, &aba));
        }
    }
    let max_retries =
        rules.budget_ratio * f64::from(first_attempts) + f64::from(rules.budget_burst);
    expect_that!(f64::from(retries), le(max_retries));
}
