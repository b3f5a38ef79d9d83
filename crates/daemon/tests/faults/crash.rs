//! Processes that are killed and replaced, or suspended for longer than every lease.

use crate::support::Cluster;
use crate::support::Load;
use crate::support::Signal;
use crate::support::pause_ms;
use crate::support::run_under_load;

/// Longer than every lease of a test cluster.
const SUSPEND_MS: u64 = 2_500;

async fn replace_entry(cluster: &mut Cluster, load: &Load, number: usize) {
    cluster.replace_entry(number).await;
    load.set_entry_address(number, cluster.entry_address(number));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_twice() {
    run_under_load(1, &[0], async |cluster, load| {
        for _ in 0..2 {
            cluster.entries[0].daemon.kill();
            pause_ms(300).await;
            replace_entry(cluster, load, 0).await;
            load.wait_for_progress().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_twice() {
    run_under_load(2, &[], async |cluster, load| {
        for _ in 0..2 {
            cluster.replace_agent(0).await;
            load.wait_for_progress().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_killed_twice() {
    run_under_load(3, &[], async |cluster, load| {
        for _ in 0..2 {
            cluster.kill_target(0);
            pause_ms(500).await;
            cluster.replace_target(0).await;
            load.wait_for_progress().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agent_killed_together() {
    run_under_load(4, &[0], async |cluster, load| {
        cluster.entries[0].daemon.kill();
        cluster.agents[1].daemon.kill();
        pause_ms(300).await;
        cluster.replace_agent(1).await;
        replace_entry(cluster, load, 0).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_suspended_and_resumed() {
    run_under_load(5, &[], async |cluster, _| {
        for _ in 0..2 {
            cluster.entries[0].daemon.signal(Signal::Stop);
            pause_ms(SUSPEND_MS).await;
            cluster.entries[0].daemon.signal(Signal::Continue);
            pause_ms(300).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_suspended_and_resumed() {
    run_under_load(6, &[], async |cluster, _| {
        for _ in 0..2 {
            cluster.agents[0].daemon.signal(Signal::Stop);
            pause_ms(SUSPEND_MS).await;
            cluster.agents[0].daemon.signal(Signal::Continue);
            pause_ms(300).await;
        }
    })
    .await;
}
