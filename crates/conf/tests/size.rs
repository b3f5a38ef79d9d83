//! Size of a configuration and time of its checks at the scale planned for in two years: 450
//! groups, 3,900 targets, 12 failure domains.
//!
//! `cargo test -p dfs-conf --release --test size -- --nocapture` prints sizes and times.

use std::time::Instant;

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::TokenDigest;
use dfs_conf::TokenIndex;
use dfs_conf::check_inventory;
use dfs_ids::ConfigVersion;
use googletest::prelude::*;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

const DOMAINS: usize = 12;
const GROUPS: usize = 450;
const TARGETS: usize = 3_900;
const LOOKUPS: u32 = 10_000;

/// Number of targets that each group lists.
const TARGETS_PER_GROUP: usize = 300;

fn group_json(n: usize) -> Value {
    let targets: Vec<String> = (0..TARGETS_PER_GROUP)
        .map(|i| format!("target-{}", (n + i * 13) % TARGETS))
        .collect();
    json!({
        "targets": targets,
        "group": format!("group-{n}"), "share": 1.0, "services": ["desk"],
        "tokens_sha256": [TokenDigest::of(&format!("group-{n}"))],
    })
}

fn target_json(n: usize) -> Value {
    json!({
        "target": format!("target-{n}"), "domain": format!("domain-{}", n % DOMAINS),
        "rack": format!("rack-{}", n / 3), "services": ["desk"], "slots": 8, "connections": 64,
        "resources": {"cpu_millis": 16000, "memory_mib": 65_536, "accelerators": 1},
    })
}

fn inventory_json() -> Value {
    let domains: Vec<String> = (0..DOMAINS).map(|n| format!("domain-{n}")).collect();
    json!({
        "domains": domains,
        "operators": [{"operator": "ada", "token_sha256": TokenDigest::of("ada")}],
        "services": [{"service": "desk", "requires": {"cpu_millis": 8000}}],
        "groups": (0..GROUPS).map(group_json).collect::<Vec<_>>(),
        "targets": (0..TARGETS).map(target_json).collect::<Vec<_>>(),
    })
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).unwrap().len()
}

/// Runs an action and prints how long it took.
fn timed<T>(name: &str, action: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = action();
    println!("{name}: {:.2} ms", start.elapsed().as_secs_f64() * 1e3);
    result
}

#[googletest::test]
fn a_one_group_diff_is_under_1_percent_of_the_configuration() {
    let document = inventory_json();
    let inventory = timed("check", || check_inventory(&document)).unwrap();
    let old = Config {
        version: ConfigVersion::new(1),
        inventory,
        rules: serde_json::from_value(json!({})).unwrap(),
    };
    let warnings = timed("warnings", || old.inventory.warnings());
    expect_that!(warnings, is_empty());
    let mut new = old.clone();
    new.version = old.version.next();
    new.inventory.groups[7].share = 2.0;
    let diff = timed("difference", || ConfigDiff::between(&old, &new));
    let applied = timed("apply", || diff.apply(&old)).unwrap();
    expect_true!(applied == new);
    println!(
        "whole: {} bytes, difference: {} bytes",
        json_bytes(&new),
        json_bytes(&diff)
    );
    expect_that!(json_bytes(&diff) * 100, lt(json_bytes(&new)));
}

#[googletest::test]
fn the_token_index_finds_every_group() {
    let inventory = check_inventory(&inventory_json()).unwrap();
    let index = timed("index", || TokenIndex::new(&inventory));
    timed("10,000 lookups", || {
        for _ in 0..LOOKUPS {
            expect_that!(index.owner("group-449").is_some(), eq(true));
        }
    });
    for n in 0..GROUPS {
        expect_true!(index.owner(&format!("group-{n}")).is_some());
    }
}
