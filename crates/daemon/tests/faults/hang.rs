//! Targets that take tasks and never answer.

use std::net::SocketAddr;

use dfs_standin::Behaviour;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::GROUP_TOKEN;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::Shape;

const SLOTS: u32 = 2;
const DEADLINE_MS: u64 = 1_000;

/// The run timeout outlasts the test, so only the deadline frees the slots.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_free_once_the_deadline_has_passed() {
    let shape = Shape {
        slots: SLOTS,
        run_timeout_ms: 600_000,
        ..Shape::DEFAULT
    };
    let cluster = Cluster::start(shape).await;
    let to = cluster.entry_address(0);
    for target in 0..cluster.agents.len() {
        cluster
            .target(target)
            .set_behaviour(Behaviour::Silent)
            .await;
    }
    let slots = cluster.agents.len() * SLOTS as usize;
    let hanging: Vec<_> = (0..slots).map(|_| tokio::spawn(hang(to))).collect();
    for reply in hanging {
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
    cluster.recovered().await;
}

async fn hang(to: SocketAddr) -> Reply {
    let body = json!({ "service": SERVICE, "body": {}, "deadline_ms": DEADLINE_MS });
    let call = Call::post("/v1/requests", GROUP_TOKEN, &body);
    call.send(to).await.unwrap()
}
