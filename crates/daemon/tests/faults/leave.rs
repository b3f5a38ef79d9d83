//! Targets that leave get no new work after 3 s, and a whole failure domain may be lost.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dfs_standin::Behaviour;
use googletest::prelude::*;

use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::Load;
use crate::support::Record;
use crate::support::pause_ms;
use crate::support::run_under_load;
use crate::support::stop_and_verify;

const MAX_LEAVE_DELAY_US: u64 = 3_000_000;
/// How long the load continues after the target has left.
const OBSERVATION_MS: u64 = 6_000;
const OPTIONS: ClusterOptions = ClusterOptions {
    target_lease_ms: 2_500,
    ..ClusterOptions::DEFAULT
};

fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_micros()).unwrap()
}

/// Makes target 0 leave and returns the number of tasks that it starts later than 3 s afterwards.
async fn count_late_starts(cluster: &Cluster, withdraw: impl AsyncFnOnce(&Cluster)) -> usize {
    withdraw(cluster).await;
    let left_us = unix_us();
    pause_ms(OBSERVATION_MS).await;
    let starts = cluster.start_logs[0].all();
    let late = |unix_us| unix_us > left_us + MAX_LEAVE_DELAY_US;
    starts.iter().filter(|start| late(start.unix_us)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn goodbye_ends_new_work_and_loses_none() {
    let cluster = Cluster::start(ClusterOptions {
        target_lease_ms: 60_000,
        ..OPTIONS
    })
    .await;
    let load = Load::start(&cluster, 21).await;
    let late = count_late_starts(&cluster, async |cluster| {
        cluster.target(0).goodbye().await.unwrap();
    });
    assert_that!(late.await, eq(0));
    let records = stop_and_verify(load, &cluster, &[]).await;
    assert!(records.iter().all(Record::is_complete));
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_ends_new_work() {
    let cluster = Cluster::start(OPTIONS).await;
    let load = Load::start(&cluster, 22).await;
    let late = count_late_starts(&cluster, async |cluster| {
        cluster.target(0).set_announcing(false);
    });
    assert_that!(late.await, eq(0));
    stop_and_verify(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_target_gets_no_new_work() {
    let cluster = Cluster::start(OPTIONS).await;
    let load = Load::start(&cluster, 23).await;
    let late = count_late_starts(&cluster, async |cluster| {
        cluster.target(0).set_behaviour(Behaviour::Silent).await;
        cluster.target(0).set_announcing(false);
    });
    assert_that!(late.await, eq(0));
    stop_and_verify(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_crash_ends_new_work() {
    let mut cluster = Cluster::start(OPTIONS).await;
    let load = Load::start(&cluster, 24).await;
    cluster.kill_target(0);
    pause_ms(MAX_LEAVE_DELAY_US / 1_000).await;
    let connections = cluster.agents[0].task_link.accepted_connections();
    pause_ms(OBSERVATION_MS / 2).await;
    assert_that!(
        cluster.agents[0].task_link.accepted_connections(),
        eq(connections)
    );
    stop_and_verify(load, &cluster, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failure_domain_lost_and_restored() {
    const EAST: [usize; 2] = [0, 2];
    run_under_load(25, &[0], async |cluster, load| {
        cluster.entries[0].daemon.kill();
        for agent in EAST {
            cluster.agents[agent].daemon.kill();
            cluster.kill_target(agent);
        }
        load.wait_for_progress().await;
        cluster.replace_entry(0).await;
        load.set_entry_address(0, cluster.entry_address(0));
        for agent in EAST {
            cluster.replace_agent(agent).await;
            cluster.replace_target(agent).await;
        }
    })
    .await;
}
