//! Changes of the configuration under racing operators and faults.

use std::time::Duration;
use std::time::Instant;

use dfs_standin::Mode;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::Cut;
use crate::support::Load;
use crate::support::Reply;
use crate::support::Shape;
use crate::support::Signal;
use crate::support::judge;
use crate::support::pause_ms;
use crate::support::until;

const CONFLICT: u16 = 409;

/// Rules that differ from all others.
fn rules(number: u64) -> Value {
    json!({ "admission": { "max_queued_tasks": 50_000 + number } })
}

async fn apply(cluster: &Cluster, entry: usize, change: &str, base: u64) -> Reply {
    let reply = cluster.apply(entry, change, base, &rules(base)).await;
    reply.unwrap()
}

/// What all entries together see of the versions that processes hold.
#[derive(Debug, Default)]
struct Spread {
    lowest: u64,
    highest: u64,
    processes: u64,
}

async fn spread(cluster: &Cluster) -> Option<Spread> {
    let mut domains = Vec::new();
    for entry in 0..cluster.entries.len() {
        let status = cluster.status(entry).await?;
        domains.extend(status["domains"].as_array()?.clone());
    }
    let of = |field: &str| {
        domains
            .iter()
            .filter_map(|d| d[field].as_u64())
            .collect::<Vec<_>>()
    };
    Some(Spread {
        lowest: of("lowest").into_iter().min()?,
        highest: of("highest").into_iter().max()?,
        processes: of("processes").iter().sum(),
    })
}

/// Waits until every process has the version, and none has ever a higher one.
async fn in_force_everywhere(cluster: &Cluster, version: u64) {
    let processes = (cluster.entries.len() + cluster.agents.len()) as u64;
    until("the version is in force everywhere", async || {
        let spread = spread(cluster).await.unwrap_or_default();
        assert_that!(spread.highest, le(version));
        spread.lowest == version && spread.processes == processes
    })
    .await;
}

async fn store_down(cluster: &Cluster) {
    cluster.platform.table.faults().set_mode(Mode::Refuse).await;
    cluster
        .platform
        .objects
        .faults()
        .set_mode(Mode::Refuse)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_exactly_one_wins() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    for base in 1..=10 {
        let names = [format!("ada-{base}"), format!("bola-{base}")];
        let (first, second) = tokio::join!(
            apply(&cluster, 0, &names[0], base),
            apply(&cluster, 1, &names[1], base),
        );
        let replies = [first, second];
        let winner = replies.iter().position(|r| r.status == 200).unwrap();
        let loser = &replies[1 - winner];
        assert_that!(replies[winner].body["version"], eq(&json!(base + 1)));
        assert_that!(loser.status, eq(CONFLICT));
        assert_that!(loser.body["winner"], eq(&json!(base + 1)));
        assert_that!(loser.body["winner_change"], eq(&json!(names[winner])));
        in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_neither_loses_nor_doubles_a_change() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    for base in 1..=5 {
        let change = format!("change-{base}");
        cluster.platform.table.faults().lose_replies(1);
        let first = apply(&cluster, 0, &change, base).await;
        assert!([200, 503].contains(&first.status), "{first:?}");
        cluster.platform.table.faults().lose_replies(0);
        let again = apply(&cluster, 1, &change, base).await;
        assert_that!(
            (again.status, &again.body["version"]),
            eq((200, &json!(base + 1)))
        );
        in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_over_sessions_if_the_store_fails_right_after() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    let other = &cluster.entries[1];
    for base in 1..=3 {
        cluster.platform.table.faults().set_mode(Mode::Normal).await;
        cluster
            .platform
            .objects
            .faults()
            .set_mode(Mode::Normal)
            .await;
        other.table.cut(Cut::Broken);
        other.objects.cut(Cut::Broken);
        let reply = apply(&cluster, 0, &format!("change-{base}"), base).await;
        assert_that!(reply.status, eq(200));
        store_down(&cluster).await;
        in_force_everywhere(&cluster, base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_processes_learn_it_from_each_other_without_the_store() {
    let mut cluster = Cluster::start(Shape::DEFAULT).await;
    let load = Load::start(&cluster, 41).await;
    assert_that!(apply(&cluster, 0, "second", 1).await.status, eq(200));
    in_force_everywhere(&cluster, 2).await;
    store_down(&cluster).await;
    for entry in [0, 1, 0] {
        cluster.replace_entry(entry).await;
        load.moved(entry, cluster.entry_address(entry));
        in_force_everywhere(&cluster, 2).await;
    }
    for agent in 0..cluster.agents.len() {
        cluster.replace_agent(agent).await;
        cluster.recovered().await;
        in_force_everywhere(&cluster, 2).await;
    }
    load.flows().await;
    judge(load, &cluster, &[0, 1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_wakes_with_an_old_version_and_brings_none_back() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    for (round, store) in [Mode::Normal, Mode::Refuse].into_iter().enumerate() {
        let base = cluster.version(1).await.unwrap();
        cluster.entries[0].daemon.signal(Signal::Stop);
        for step in 0..2 {
            let change = format!("round-{round}-{step}");
            assert_that!(
                apply(&cluster, 1, &change, base + step).await.status,
                eq(200)
            );
        }
        pause_ms(2_500).await;
        cluster.platform.table.faults().set_mode(store).await;
        cluster.platform.objects.faults().set_mode(store).await;
        cluster.entries[0].daemon.signal(Signal::Continue);
        until("the woken entry has the newest version", async || {
            let kept = cluster.status(1).await.unwrap();
            assert_that!(kept["version"], eq(&json!(base + 2)));
            cluster.version(0).await == Some(base + 2)
        })
        .await;
        in_force_everywhere(&cluster, base + 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_from_the_store_cannot_apply_over_a_newer_version() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    cluster.entries[0].sessions.cut(Cut::Both);
    cluster.entries[0].table.cut(Cut::Both);
    assert_that!(apply(&cluster, 1, "newer", 1).await.status, eq(200));
    let stale = apply(&cluster, 0, "stale", 1).await;
    assert_that!(stale.status, eq(503));
    cluster.entries[0].table.cut(Cut::Mended);
    cluster.entries[0].sessions.cut(Cut::Mended);
    assert_that!(apply(&cluster, 0, "stale", 1).await.status, eq(CONFLICT));
    in_force_everywhere(&cluster, 2).await;
}

/// Prints the time from the operator's answer until every process has the version.
#[tokio::test(flavor = "multi_thread")]
async fn time_until_in_force_everywhere() {
    let cluster = Cluster::start(Shape {
        entries: 4,
        agents: 4,
        ..Shape::DEFAULT
    })
    .await;
    let load = Load::start(&cluster, 42).await;
    let mut times = Vec::new();
    for (entry, base) in (0..4).cycle().zip(1..=15) {
        let reply = apply(&cluster, entry, &format!("change-{base}"), base).await;
        assert_that!(reply.status, eq(200));
        let accepted = Instant::now();
        in_force_everywhere(&cluster, base + 1).await;
        times.push(accepted.elapsed());
    }
    judge(load, &cluster, &[]).await;
    times.sort();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("in force everywhere after: median {median:?}, longest {longest:?}");
    assert_that!(longest, lt(Duration::from_secs(30)));
}
