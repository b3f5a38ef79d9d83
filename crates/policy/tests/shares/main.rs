//! A group that may use only some of the targets gets what it is owed under overload.

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
use cluster::Shape;
use cluster::Tenant;
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

fn config() -> Arc<Config> {
    let inventory = Inventory {
        domains: vec!["lagos".parse().unwrap()],
        operators: Vec::new(),
        services: vec![Service {
            service: "desk".parse().unwrap(),
            requires: Resources::default(),
        }],
        groups: vec![group("aba", LIMITED_TARGETS), group("onitsha", 0)],
        queues: Vec::new(),
        targets: Vec::new(),
    };
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory,
        rules: Rules::default(),
    })
}

fn tenant(name: &'static str, part: f64) -> Tenant {
    Tenant {
        name,
        weight: part,
        entries: Vec::new(),
        uniform: Some(JOB),
    }
}

#[googletest::test]
fn a_group_limited_to_some_targets_gets_what_it_is_owed() {
    let owed = mix::count(LIMITED_TARGETS) / mix::count(AGENTS);
    let shape = Shape {
        entries: 4,
        agents: AGENTS,
        slots: SLOTS,
        load: 2.0,
        duration_us: WINDOWS * WINDOW_US,
        seed: 1,
        tenants: vec![tenant("aba", owed), tenant("onitsha", 1.0 - owed)],
        fault: Fault::None,
    };
    let tally = Cluster::new(shape, MEMBER_DESK, &config()).run();
    let full_us = mix::count(WINDOW_US * AGENTS * u64::from(SLOTS)) * owed;
    for window in SKIPPED_WINDOWS..WINDOWS {
        let busy_us = tally.busy_us.get(&("aba".parse().unwrap(), window));
        let part = mix::count(busy_us.copied().unwrap_or_default()) / full_us;
        expect_that!(part, ge(FAIR_PART), "window {window}");
    }
}
