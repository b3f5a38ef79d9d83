//! Processes that are killed and replaced, or suspended for longer than every lease.

use googletest::prelude::*;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::Connection;
use crate::support::Load;
use crate::support::OPERATOR_TOKEN;
use crate::support::Signal;
use crate::support::pause_ms;
use crate::support::run_under_load;

/// Longer than every lease of a test cluster.
const SUSPEND_MS: u64 = 2_500;
const IDLE_CONNECTIONS: usize = 32;

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

/// The limit on the time between two requests of a connection runs out while the entry is suspended, but
/// the next request has arrived before the entry resumes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_to_a_suspended_entry_are_answered() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    let address = cluster.entry_address(0);
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut connection = Connection::open(address).await.unwrap();
        assert_that!(
            connection.send(status_call()).await.unwrap().status,
            eq(200)
        );
        connections.push(connection);
    }
    cluster.entries[0].daemon.signal(Signal::Stop);
    let request = |mut connection: Connection| {
        tokio::spawn(async move { connection.send(status_call()).await })
    };
    let replies: Vec<_> = connections.into_iter().map(request).collect();
    pause_ms(SUSPEND_MS).await;
    cluster.entries[0].daemon.signal(Signal::Continue);
    for reply in replies {
        assert_that!(reply.await.unwrap().map(|reply| reply.status), ok(eq(&200)));
    }
}

fn status_call() -> Call<'static> {
    Call::get("/v1/status", OPERATOR_TOKEN)
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
