//! Versions of the desired state in quick succession.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::config::limit_processor_time;
use crate::daemon::Daemon;
use crate::daemon::Role;
use crate::pool::Pool;
use crate::settings::PREFIX;
use crate::settings::config;
use crate::wait_until;

/// Time within which the users require a change to be active on deployments of this size.
const BOUND: Duration = Duration::from_secs(3);
/// Agents that have one entry as the source of their configuration.
const AGENTS: usize = 12;
const QUEUES: u64 = 48;
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
const CHANGES: u64 = 100;
/// Higher than the version with which the pool starts.
const FIRST_VERSION: u64 = 100;
/// Time until the start of the processes no longer takes processor time.
const WARM_UP: Duration = Duration::from_secs(2);

/// The desired state of a version: each one adds a route ahead of the others, and drops the last of them.
fn succession_config(version: u64) -> Value {
    let mut state = config(version, PREFIX);
    let served = state["routes"][0].clone();
    let route = |number: u64| {
        let mut route = served.clone();
        route["name"] = json!(format!("r-idle-{number}"));
        route["host"] = json!(format!("host-{number}.example"));
        route
    };
    let mut routes: Vec<_> = (0..QUEUES).map(|age| route(version - age)).collect();
    routes.push(served);
    state["routes"] = json!(routes);
    state
}

/// Highest version that a process has adopted.
fn adopted_version(process: &Daemon) -> u64 {
    let log = process.log_text();
    let adopted = log.split(" version_adopted version=").skip(1);
    let versions = adopted.filter_map(|rest| rest.split(' ').next()?.parse().ok());
    versions.max().unwrap_or_default()
}

/// Writes versions in quick succession, and returns the longest time for which a confirmed one was not active.
async fn longest_delay(pool: &Pool, entry: usize) -> Duration {
    let mut confirmed_at = Vec::new();
    let mut longest = Duration::ZERO;
    let last = FIRST_VERSION + CHANGES - 1;
    for version in FIRST_VERSION.. {
        if version <= last {
            pool.store.put_config(&succession_config(version));
            confirmed_at.push(Instant::now());
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
        let adopted = adopted_version(&pool.entries[entry]);
        if adopted >= last {
            break;
        }
        let missing = usize::try_from(adopted.max(FIRST_VERSION - 1) + 1 - FIRST_VERSION).unwrap();
        if let Some(confirmed_at) = confirmed_at.get(missing) {
            longest = longest.max(confirmed_at.elapsed());
        }
    }
    longest
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_in_quick_succession_are_active_in_time_at_a_busy_entry_and_its_agents() {
    let pool = Pool::start_with(1, AGENTS, |role, settings| {
        if matches!(role, Role::Entry) {
            settings["host"]["config_bound_ms"] = json!(BOUND.as_millis());
        }
    })
    .await;
    tokio::time::sleep(WARM_UP).await;
    let delay = tokio::select! {
        delay = longest_delay(&pool, 0) => delay,
        never = limit_processor_time(&pool.entries[0]) => never,
    };
    expect_that!(delay, lt(BOUND));
    let last = FIRST_VERSION + CHANGES - 1;
    let since = Instant::now();
    wait_until("all agents have the last version", async || {
        tokio::time::sleep(CHANGE_INTERVAL).await;
        pool.agents
            .iter()
            .all(|agent| adopted_version(agent) == last)
    })
    .await;
    expect_that!(since.elapsed(), lt(BOUND));
    let log = pool.entries[0].log_text();
    expect_that!(log, contains_substring(" 513 config_traffic "));
}
