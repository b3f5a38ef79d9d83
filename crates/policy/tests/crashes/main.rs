//! Pools in which some tasks of one kind crash the targets that start them.

#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/cluster.rs"]
mod cluster;
#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/kinds.rs"]
mod kinds;
#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/mix.rs"]
mod mix;
#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/tally.rs"]
mod tally;

use std::cell::Cell;
use std::ops::Range;

use cluster::CrashingTasks;
use cluster::Fault;
use googletest::prelude::*;
use kinds::KINDS;
use kinds::Kind;
use kinds::MICROS_PER_MILLI;
use kinds::responses;
use kinds::simulate_pool;
use mix::to_f64;
use tally::Outcome;
use tally::Tally;

/// Starts of a task after which it may not start again: it may start twice more after three targets have crashed.
const MAX_STARTS: u32 = 5;
/// Fraction of the submissions of each other kind that are to be complete within their objective.
const MIN_OTHERS_IN_TIME: f64 = 0.95;
const LOAD: f64 = 0.6;
/// Kinds whose tasks crash targets, with the fraction of their submissions in thousandths.
const CRASHING: [(&str, u64); 3] = [("check", 100), ("slot", 20), ("quote", 300)];

/// A pool, and the seeds with which it is simulated.
struct Pool {
    entries: u64,
    agents: u64,
    seeds: Range<u64>,
}

const SMALL: Pool = Pool {
    entries: 1,
    agents: 5,
    seeds: 1..4,
};
const MEDIUM: Pool = Pool {
    entries: 4,
    agents: 11,
    seeds: 1..4,
};
const LARGE: Pool = Pool {
    entries: 5,
    agents: 40,
    seeds: 1..2,
};

fn simulate(entries: u64, agents: u64, workload: &'static str, permille: u64, seed: u64) -> Tally {
    let fault = Fault::CrashingTasks(CrashingTasks {
        workload,
        permille,
        until_us: 6_000_000,
        crash_us: 15_000,
        outage_us: 3_300_000,
    });
    simulate_pool(entries, agents, LOAD, fault, seed)
}

fn fraction_in_time(tally: &Tally, kind: &Kind) -> f64 {
    let objective_us = kind.objective_ms * MICROS_PER_MILLI;
    let all = responses(tally, kind);
    let in_time = all
        .iter()
        .filter(|r| r.outcome == Outcome::Complete && r.latency_us <= objective_us);
    to_f64(in_time.count() as u64) / to_f64(all.len() as u64)
}

/// Simulates each kind as the crashing one; `check` gets the result, the crashing kind and a name for messages.
fn for_each_kind(pool: Pool, check: impl Fn(&Tally, &str, &str)) {
    let Pool {
        entries,
        agents,
        seeds,
    } = pool;
    for (workload, permille) in CRASHING {
        for seed in seeds.clone() {
            let tally = simulate(entries, agents, workload, permille, seed);
            let name = format!("{entries} entries, {agents} agents, {workload}, seed {seed}");
            check(&tally, workload, &name);
        }
    }
}

fn check_others_are_served(pool: Pool) {
    for_each_kind(pool, |tally, crashing, name| {
        let in_time = KINDS.map(|kind| (kind.name, fraction_in_time(tally, &kind)));
        println!("{name}: {} crashes, in time {in_time:.3?}", tally.crashes);
        for (kind, fraction) in in_time {
            if kind != crashing {
                expect_that!(fraction, ge(MIN_OTHERS_IN_TIME), "{name}: {kind}");
            }
        }
    });
}

#[googletest::test]
fn a_task_that_crashes_its_targets_is_not_started_three_times_after_three_crashes() {
    let crashes = Cell::new(0);
    for pool in [SMALL, MEDIUM] {
        for_each_kind(pool, |tally, _, name| {
            let most_starts = tally.crashing_starts.values().max();
            let most_starts = most_starts.copied().unwrap_or_default();
            expect_that!(most_starts, le(MAX_STARTS), "{name}");
            crashes.set(crashes.get() + tally.crashes);
        });
    }
    expect_that!(crashes.get(), gt(0));
}

#[googletest::test]
fn other_kinds_are_served_beside_crashing_tasks_in_a_small_pool() {
    check_others_are_served(SMALL);
}

#[googletest::test]
fn other_kinds_are_served_beside_crashing_tasks_in_a_medium_pool() {
    check_others_are_served(MEDIUM);
}

#[googletest::test]
fn other_kinds_are_served_beside_crashing_tasks_in_a_large_pool() {
    check_others_are_served(LARGE);
}
