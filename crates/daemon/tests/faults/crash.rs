//! Processes that are killed and replaced, or frozen past every lease.

use crate::support::Cluster;
use crate::support::Load;
use crate::support::Signal;
use crate::support::pause_ms;
use crate::support::under_load;

/// Longer than every lease of a test cluster.
const FREEZE_MS: u64 = 2_500;

async fn replace_entry(cluster: &mut Cluster, load: &Load, number: usize) {
    cluster.replace_entry(number).await;
    load.moved(number, cluster.entry_address(number));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_twice() {
    under_load(1, &[0], async |cluster, load| {
        for _ in 0..2 {
            cluster.entries[0].daemon.kill();
            pause_ms(300).await;
            replace_entry(cluster, load, 0).await;
            load.flows().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_twice() {
    under_load(2, &[], async |cluster, load| {
        for _ in 0..2 {
            cluster.replace_agent(0).await;
            load.flows().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_killed_twice() {
    under_load(3, &[], async |cluster, load| {
        for _ in 0..2 {
            cluster.kill_target(0);
            pause_ms(500).await;
            cluster.replace_target(0).await;
            load.flows().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agent_killed_together() {
    under_load(4, &[0], async |cluster, load| {
        cluster.entries[0].daemon.kill();
        cluster.agents[1].daemon.kill();
        pause_ms(300).await;
        cluster.replace_agent(1).await;
        replace_entry(cluster, load, 0).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen_and_woken() {
    under_load(5, &[], async |cluster, _| {
        for _ in 0..2 {
            cluster.entries[0].daemon.signal(Signal::Stop);
            pause_ms(FREEZE_MS).await;
            cluster.entries[0].daemon.signal(Signal::Continue);
            pause_ms(300).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen_and_woken() {
    under_load(6, &[], async |cluster, _| {
        for _ in 0..2 {
            cluster.agents[0].daemon.signal(Signal::Stop);
            pause_ms(FREEZE_MS).await;
            cluster.agents[0].daemon.signal(Signal::Continue);
            pause_ms(300).await;
        }
    })
    .await;
}
