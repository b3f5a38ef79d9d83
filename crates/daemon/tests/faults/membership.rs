//! Entries that are added or replaced, and agents that discover them, also through a balancer.

use googletest::prelude::*;

use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::Load;
use crate::support::pause_ms;
use crate::support::run_under_load;
use crate::support::stop_and_verify;

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
