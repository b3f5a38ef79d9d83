//! Targets that leave get no new work after 3 s, and a failure domain may be lost whole.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dfs_standin::Behaviour;
use googletest::prelude::*;

use crate::support::Cluster;
use crate::support::Load;
use crate::support::Shape;
use crate::support::judge;
use crate::support::pause_ms;
use crate::support::under_load;

const MAX_LEAVE_US: u64 = 3_000_000;
/// How long the load runs on after the target has left.
const WATCH_MS: u64 = 6_000;
const SHAPE: Shape = Shape {
    target_lease_ms: 2_500,
    ..Shape::DEFAULT
};

fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_micros()).unwrap()
}

/// Starts on target 0 later than 3 s after it left.
async fn late_starts(cluster: &Cluster, leave: impl AsyncFnOnce(&Cluster)) -> usize {
    leave(cluster).await;
    let left_us = unix_us();
    pause_ms(WATCH_MS).await;
    let starts = cluster.logs[0].all();
    let late = |unix_us| unix_us > left_us + MAX_LEAVE_US;
    starts.iter().filter(|start| late(start.unix_us)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn goodbye_cuts_nothing_and_ends_new_work() {
    let cluster = Cluster::start(Shape {
        target_lease_ms: 60_000,
        ..SHAPE
    })
    .await;
    let load = Load::start(&cluster, 21).await;
    let late = late_starts(&cluster, async |cluster| {
        cluster.target(0).goodbye().await.unwrap();
    });
    assert_that!(late.await, eq(0));
    let records = judge(load, &cluster, &[]).await;
    assert!(records.iter().all(crate::support::Record::is_complete));
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_ends_new_work() {
    let cluster = Cluster::start(SHAPE).await;
    let load = Load::start(&cluster, 22).await;
    let late = late_starts(&cluster, async |cluster| {
        cluster.target(0).set_announcing(false);
    });
    assert_that!(late.await, eq(0));
    judge(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_without_answers_ends_new_work() {
    let cluster = Cluster::start(SHAPE).await;
    let load = Load::start(&cluster, 23).await;
    let late = late_starts(&cluster, async |cluster| {
        cluster.target(0).set_behaviour(Behaviour::Silent).await;
        cluster.target(0).set_announcing(false);
    });
    assert_that!(late.await, eq(0));
    judge(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_ends_new_work() {
    let mut cluster = Cluster::start(SHAPE).await;
    let load = Load::start(&cluster, 24).await;
    cluster.kill_target(0);
    pause_ms(MAX_LEAVE_US / 1_000).await;
    let tried = cluster.agents[0].tasks.accepted();
    pause_ms(WATCH_MS / 2).await;
    assert_that!(cluster.agents[0].tasks.accepted(), eq(tried));
    judge(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_is_lost_and_comes_back() {
    const EAST: [usize; 2] = [0, 2];
    under_load(25, &[0], async |cluster, load| {
        cluster.entries[0].daemon.kill();
        for agent in EAST {
            cluster.agents[agent].daemon.kill();
            cluster.kill_target(agent);
        }
        load.flows().await;
        cluster.replace_entry(0).await;
        load.moved(0, cluster.entry_address(0));
        for agent in EAST {
            cluster.replace_agent(agent).await;
            cluster.replace_target(agent).await;
        }
    })
    .await;
}
