//! Configuration changes under concurrent operators and faults.

use std::time::Duration;
use std::time::Instant;

use dfs_standin::Mode;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::LinkState;
use crate::support::Load;
use crate::support::Reply;
use crate::support::Signal;
use crate::support::pause_ms;
use crate::support::stop_and_verify;
use crate::support::wait_until;

const CONFLICT: u16 = 409;

/// Rules that are distinct for each `number`.
fn rules(number: u64) -> Value {
    json!({ "admission": { "max_queued_tasks": 50_000 + number } })
}

async fn apply_rules(cluster: &Cluster, entry: usize, change: &str, base: u64) -> Reply {
    let reply = cluster.apply_rules(entry, change, base, &rules(base)).await;
    reply.unwrap()
}

/// Lowest and highest version in force and number of processes, over the reports of all entries.
#[derive(Debug, Default)]
struct VersionRange {
    lowest: u64,
    highest: u64,
    processes: u64,
}

async fn version_range(cluster: &Cluster) -> Option<VersionRange> {
    let mut domains = Vec::new();
    for entry in 0..cluster.entries.len() {
        let status = cluster.status(entry).await?;
        domains.extend(status["domains"].as_array()?.clone());
    }
    let values = |field: &str| {
        domains
            .iter()
            .filter_map(|d| d[field].as_u64())
            .collect::<Vec<_>>()
    };
    Some(VersionRange {
        lowest: values("lowest").into_iter().min()?,
        highest: values("highest").into_iter().max()?,
        processes: values("processes").iter().sum(),
    })
}

/// Waits until every process has the version; panics if any reports a higher one.
async fn wait_until_in_force_everywhere(cluster: &Cluster, version: u64) {
    let processes = (cluster.entries.len() + cluster.agents.len()) as u64;
    wait_until("the version is in force everywhere", async || {
        let range = version_range(cluster).await.unwrap_or_default();
        assert_that!(range.highest, le(version));
        range.lowest == version && range.processes == processes
    })
    .await;
}

async fn stop_store(cluster: &Cluster) {
    cluster.platform.table.faults().set_mode(Mode::Refuse).await;
    cluster
        .platform
        .objects
        .faults()
        .set_mode(Mode::Refuse)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_wins() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    for base in 1..=10 {
        let names = [format!("ada-{base}"), format!("bola-{base}")];
        let (first, second) = tokio::join!(
            apply_rules(&cluster, 0, &names[0], base),
            apply_rules(&cluster, 1, &names[1], base),
        );
        let replies = [first, second];
        let winner = replies.iter().position(|r| r.status == 200).unwrap();
        let loser = &replies[1 - winner];
        assert_that!(replies[winner].body["version"], eq(&json!(base + 1)));
        assert_that!(loser.status, eq(CONFLICT));
        assert_that!(loser.body["winner"], eq(&json!(base + 1)));
        assert_that!(loser.body["winner_change"], eq(&json!(names[winner])));
        wait_until_in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_applied_once_despite_a_lost_reply() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    for base in 1..=5 {
        let change = format!("change-{base}");
        cluster.platform.table.faults().lose_replies(1);
        let first = apply_rules(&cluster, 0, &change, base).await;
        assert!([200, 503].contains(&first.status), "{first:?}");
        cluster.platform.table.faults().lose_replies(0);
        let repeated = apply_rules(&cluster, 1, &change, base).await;
        assert_that!(
            (repeated.status, &repeated.body["version"]),
            eq((200, &json!(base + 1)))
        );
        wait_until_in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_propagates_over_sessions_if_the_store_fails_right_after() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    let disconnected = &cluster.entries[1];
    for base in 1..=3 {
        cluster.platform.table.faults().set_mode(Mode::Normal).await;
        cluster
            .platform
            .objects
            .faults()
            .set_mode(Mode::Normal)
            .await;
        disconnected.table_link.set_state(LinkState::Reset);
        disconnected.object_link.set_state(LinkState::Reset);
        let reply = apply_rules(&cluster, 0, &format!("change-{base}"), base).await;
        assert_that!(reply.status, eq(200));
        stop_store(&cluster).await;
        wait_until_in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_processes_get_the_version_from_peers_without_the_store() {
    let mut cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    let load = Load::start(&cluster, 41).await;
    assert_that!(apply_rules(&cluster, 0, "second", 1).await.status, eq(200));
    wait_until_in_force_everywhere(&cluster, 2).await;
    stop_store(&cluster).await;
    for entry in [0, 1, 0] {
        cluster.replace_entry(entry).await;
        load.set_entry_address(entry, cluster.entry_address(entry));
        wait_until_in_force_everywhere(&cluster, 2).await;
    }
    for agent in 0..cluster.agents.len() {
        cluster.replace_agent(agent).await;
        cluster.wait_until_recovered().await;
        wait_until_in_force_everywhere(&cluster, 2).await;
    }
    load.wait_for_progress().await;
    stop_and_verify(load, &cluster, &[0, 1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_entry_does_not_restore_an_old_version() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    for (round, store_mode) in [Mode::Normal, Mode::Refuse].into_iter().enumerate() {
        let base = cluster.config_version(1).await.unwrap();
        cluster.entries[0].daemon.signal(Signal::Stop);
        for step in 0..2 {
            let change = format!("round-{round}-{step}");
            assert_that!(
                apply_rules(&cluster, 1, &change, base + step).await.status,
                eq(200)
            );
        }
        pause_ms(2_500).await;
        cluster.platform.table.faults().set_mode(store_mode).await;
        cluster.platform.objects.faults().set_mode(store_mode).await;
        cluster.entries[0].daemon.signal(Signal::Continue);
        wait_until("the resumed entry has the newest version", async || {
            let status = cluster.status(1).await.unwrap();
            assert_that!(status["version"], eq(&json!(base + 2)));
            cluster.config_version(0).await == Some(base + 2)
        })
        .await;
        wait_until_in_force_everywhere(&cluster, base + 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_the_store_cannot_overwrite_a_newer_version() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    cluster.entries[0]
        .session_link
        .set_state(LinkState::Blocked);
    cluster.entries[0].table_link.set_state(LinkState::Blocked);
    assert_that!(apply_rules(&cluster, 1, "newer", 1).await.status, eq(200));
    let stale = apply_rules(&cluster, 0, "stale", 1).await;
    assert_that!(stale.status, eq(503));
    cluster.entries[0].table_link.set_state(LinkState::Open);
    cluster.entries[0].session_link.set_state(LinkState::Open);
    assert_that!(
        apply_rules(&cluster, 0, "stale", 1).await.status,
        eq(CONFLICT)
    );
    wait_until_in_force_everywhere(&cluster, 2).await;
}

/// Measures and prints the time from the operator's answer until every process has the version.
#[tokio::test(flavor = "multi_thread")]
async fn time_until_in_force_everywhere() {
    let cluster = Cluster::start(ClusterOptions {
        entries: 4,
        agents: 4,
        ..ClusterOptions::DEFAULT
    })
    .await;
    let load = Load::start(&cluster, 42).await;
    let mut times = Vec::new();
    for (entry, base) in (0..4).cycle().zip(1..=15) {
        let reply = apply_rules(&cluster, entry, &format!("change-{base}"), base).await;
        assert_that!(reply.status, eq(200));
        let accepted = Instant::now();
        wait_until_in_force_everywhere(&cluster, base + 1).await;
        times.push(accepted.elapsed());
    }
    stop_and_verify(load, &cluster, &[]).await;
    times.sort();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("in force everywhere after: median {median:?}, longest {longest:?}");
    assert_that!(longest, lt(Duration::from_secs(30)));
}
