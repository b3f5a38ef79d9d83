//! Targets that accept tasks and never answer.

use std::net::SocketAddr;

use dfs_standin::Behaviour;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::Reply;
use crate::support::SERVICE;

const SLOTS: u32 = 2;
const DEADLINE_MS: u64 = 1_000;

/// The run timeout outlasts the test, so only the deadline can free the slots.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_freed_at_the_deadline() {
    let options = ClusterOptions {
        slots: SLOTS,
        run_timeout_ms: 600_000,
        ..ClusterOptions::DEFAULT
    };
    let cluster = Cluster::start(options).await;
    let address = cluster.entry_address(0);
    for target in 0..cluster.agents.len() {
        cluster
            .target(target)
            .set_behaviour(Behaviour::Silent)
            .await;
    }
    let slots = cluster.agents.len() * SLOTS as usize;
    let requests: Vec<_> = (0..slots)
        .map(|_| tokio::spawn(post_request(address)))
        .collect();
    for reply in requests {
        let failure = reply.await.unwrap().body["failure"].clone();
        assert_that!(failure["reason"], eq(&json!("deadline_exceeded")));
        assert_that!(failure["not_run"], eq(&json!(false)));
    }
    for target in 0..cluster.agents.len() {
        cluster
            .target(target)
            .set_behaviour(Behaviour::Normal)
            .await;
    }
    cluster.wait_until_recovered().await;
}

async fn post_request(address: SocketAddr) -> Reply {
    let body = json!({ "service": SERVICE, "body": {}, "deadline_ms": DEADLINE_MS });
    let call = Call::post("/v1/requests", GROUP_TOKEN, &body);
    call.send(address).await.unwrap()
}
