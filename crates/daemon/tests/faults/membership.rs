//! Entries that are added or replaced, and agents that discover them, also through a balancer.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::Load;
use crate::support::pause_ms;
use crate::support::run_under_load;
use crate::support::stop_and_verify;

/// Time after which a cluster no longer expects other processes to start.
const SETTLED_MS: u64 = 4_500;
/// Time within which the users require new processes to be back in service.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(2);

/// Number of sessions that an agent has opened so far.
fn opened_sessions(cluster: &Cluster, agent: usize) -> usize {
    let log = cluster.agents[agent].daemon.log_text();
    log.matches("session_opened").count()
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_discover_an_entry_added_later() {
    run_under_load(81, &[], async |cluster, _| {
        cluster.add_entry(2).await;
        cluster.wait_until_recovered().await;
    })
    .await;
}

/// The agents are connected to another entry, so they rarely look for new ones themselves.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_added_to_a_running_cluster_is_connected_within_seconds() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    pause_ms(SETTLED_MS).await;
    let number = cluster.entries.len();
    cluster.add_entry(number).await;
    let started = Instant::now();
    cluster.wait_until_recovered().await;
    assert_that!(started.elapsed(), lt(DISCOVERY_LIMIT));
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_behind_a_balancer_discover_every_entry() {
    let mut cluster = Cluster::start(ClusterOptions {
        agents_use_balancer: true,
        ..ClusterOptions::DEFAULT
    })
    .await;
    let load = Load::start(&cluster, 82).await;
    cluster.replace_entry(1).await;
    load.set_entry_address(1, cluster.entry_address(1));
    cluster.wait_until_recovered().await;
    cluster.replace_entry(0).await;
    load.set_entry_address(0, cluster.entry_address(0));
    cluster.wait_until_recovered().await;
    load.wait_for_progress().await;
    let sessions = opened_sessions(&cluster, 0);
    pause_ms(3_000).await;
    assert_that!(opened_sessions(&cluster, 0), eq(sessions));
    stop_and_verify(load, &cluster, &[0, 1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_processes_replaced_at_once() {
    run_under_load(83, &[0, 1], async |cluster, load| {
        for entry in &mut cluster.entries {
            entry.daemon.kill();
        }
        for agent in &mut cluster.agents {
            agent.daemon.kill();
        }
        for agent in 0..cluster.agents.len() {
            cluster.replace_agent(agent).await;
        }
        for entry in 0..cluster.entries.len() {
            cluster.replace_entry(entry).await;
            load.set_entry_address(entry, cluster.entry_address(entry));
        }
    })
    .await;
}
