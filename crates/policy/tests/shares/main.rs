//! Groups get what they are owed under overload, whatever they offer and wherever they may run.

#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/cluster.rs"]
mod cluster;
#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/mix.rs"]
mod mix;
#[expect(dead_code, reason = "shared with the benchmark")]
#[path = "../../benches/grid/tally.rs"]
mod tally;

use std::sync::Arc;

use cluster::Cluster;
use cluster::Fault;
use cluster::Scenario;
use cluster::Workload;
use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_conf::TokenDigest;
use dfs_ids::ConfigVersion;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use mix::MEMBER_DESK;
use tally::Tally;
use tally::WINDOW_US;

const AGENTS: u64 = 11;
const LIMITED_TARGETS: u64 = 3;
const SLOTS: u32 = 8;
/// Windows at the start in which the queues fill.
const SKIPPED_WINDOWS: u64 = 2;
const WINDOWS: u64 = 6;
/// Part of what it is owed that a group must get; the rest is for work at the edges of a window.
const FAIR_PART: f64 = 0.9;
/// Tasks of a job and the run time of each, in microseconds.
const JOB: (usize, u64) = (10, 400_000);

fn group(name: &str, targets: u64) -> Group {
    Group {
        group: name.parse().unwrap(),
        share: 1.0,
        tokens_sha256: vec![TokenDigest::of(name)],
        services: vec!["desk".parse().unwrap()],
        targets: (0..targets)
            .map(|t| format!("t{t}").parse().unwrap())
            .collect(),
        max_placed: None,
    }
}

fn config(limited_to: u64) -> Arc<Config> {
    let inventory = Inventory {
        domains: vec!["lagos".parse().unwrap()],
        operators: Vec::new(),
        services: vec![Service {
            service: "desk".parse().unwrap(),
            requires: Resources::default(),
        }],
        groups: vec![group("aba", limited_to), group("onitsha", 0)],
        queues: Vec::new(),
        targets: Vec::new(),
    };
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory,
        rules: Rules::default(),
    })
}

fn workload(name: &'static str, weight: f64, job: (usize, u64)) -> Workload {
    Workload {
        name,
        group: name,
        weight,
        entries: Vec::new(),
        uniform_job: Some(job),
        service_level: None,
    }
}

fn play(load: f64, workloads: Vec<Workload>, limited_to: u64) -> Tally {
    let scenario = Scenario {
        entries: 4,
        agents: AGENTS,
        slots: SLOTS,
        load,
        duration_us: WINDOWS * WINDOW_US,
        seed: 1,
        workloads,
        fault: Fault::None,
    };
    Cluster::new(scenario, MEMBER_DESK, &config(limited_to)).run()
}

/// Checks each window after the first ones against the part of the capacity that a group is owed.
fn expect_owed(tally: &Tally, group: &str, owed: f64) {
    let full_us = mix::to_f64(WINDOW_US * AGENTS * u64::from(SLOTS)) * owed;
    for window in SKIPPED_WINDOWS..WINDOWS {
        let busy_us = tally.busy_us.get(&(group.parse().unwrap(), window));
        let part = mix::to_f64(busy_us.copied().unwrap_or_default()) / full_us;
        expect_that!(part, ge(FAIR_PART), "{group} in window {window}");
    }
}

#[googletest::test]
fn a_group_limited_to_some_targets_gets_what_it_is_owed() {
    let owed = mix::to_f64(LIMITED_TARGETS) / mix::to_f64(AGENTS);
    let workloads = vec![
        workload("aba", owed, JOB),
        workload("onitsha", 1.0 - owed, JOB),
    ];
    let tally = play(2.0, workloads, LIMITED_TARGETS);
    expect_owed(&tally, "aba", owed);
    expect_owed(&tally, "onitsha", 1.0 - owed);
}

#[googletest::test]
fn a_group_that_offers_ten_times_as_much_gets_no_more() {
    let workloads = vec![workload("aba", 10.0, JOB), workload("onitsha", 1.0, JOB)];
    let tally = play(10.0, workloads, 0);
    expect_owed(&tally, "aba", 0.5);
    expect_owed(&tally, "onitsha", 0.5);
}

#[googletest::test]
fn a_group_with_wide_jobs_gets_as_much_as_one_with_single_tasks() {
    let (wide, single) = ((200, 400_000), (1, 400_000));
    let workloads = vec![
        workload("aba", 1.0, wide),
        workload("onitsha", 200.0, single),
    ];
    let tally = play(2.0, workloads, 0);
    expect_owed(&tally, "aba", 0.5);
    expect_owed(&tally, "onitsha", 0.5);
}
