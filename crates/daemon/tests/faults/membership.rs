//! Entries that come, go, and are known only by the balancer's address.

use googletest::prelude::*;

use crate::support::Cluster;
use crate::support::Load;
use crate::support::Shape;
use crate::support::judge;
use crate::support::pause_ms;
use crate::support::under_load;

/// Sessions that an agent has opened so far.
fn opened(cluster: &Cluster, agent: usize) -> usize {
    let log = cluster.agents[agent].daemon.log_text();
    log.matches("session_opened").count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_added_later_is_found() {
    under_load(81, &[], async |cluster, _| {
        cluster.add_entry(2).await;
        cluster.recovered().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_that_know_only_the_balancer_find_every_entry() {
    let mut cluster = Cluster::start(Shape {
        balanced: true,
        ..Shape::DEFAULT
    })
    .await;
    let load = Load::start(&cluster, 82).await;
    cluster.replace_entry(1).await;
    load.moved(1, cluster.entry_address(1));
    cluster.recovered().await;
    cluster.replace_entry(0).await;
    load.moved(0, cluster.entry_address(0));
    cluster.recovered().await;
    load.flows().await;
    let sessions = opened(&cluster, 0);
    pause_ms(3_000).await;
    assert_that!(opened(&cluster, 0), eq(sessions));
    judge(load, &cluster, &[0, 1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn everything_is_replaced_at_once() {
    under_load(83, &[0, 1], async |cluster, load| {
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
            load.moved(entry, cluster.entry_address(entry));
        }
    })
    .await;
}
