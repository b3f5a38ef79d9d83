//! Cancellations, by request and by a caller that goes away.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Call;
use crate::support::CallError;
use crate::support::Cluster;
use crate::support::GROUP_TOKEN;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::Shape;
use crate::support::pause_ms;
use crate::support::until;

const RUN_MS: u64 = 500;
const TASKS: usize = 40;
/// Three targets with one slot each.
const SLOW: Shape = Shape {
    slots: 1,
    ..Shape::DEFAULT
};

async fn post(to: SocketAddr, name: &str, timeout_ms: u64) -> Result<Reply, CallError> {
    let task = json!({ "run_ms": RUN_MS, "echo": name });
    let body = json!({ "service": SERVICE, "tasks": vec![task; TASKS] });
    let call = Call {
        name,
        timeout: Duration::from_millis(timeout_ms),
        ..Call::post("/v1/jobs", GROUP_TOKEN, &body)
    };
    call.send(to).await
}

async fn cancel(to: SocketAddr, name: &str) -> u16 {
    let path = format!("/v1/jobs/{name}");
    let call = Call {
        method: Method::DELETE,
        ..Call::get(&path, GROUP_TOKEN)
    };
    call.send(to).await.unwrap().status
}

/// No task of the job starts any more, and others run.
async fn nothing_more_starts(cluster: &Cluster) {
    pause_ms(2 * RUN_MS).await;
    let started = cluster.started();
    pause_ms(3 * RUN_MS).await;
    assert_that!(cluster.started(), eq(started));
    cluster.recovered().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_is_answered_at_once_and_starts_no_more() {
    let cluster = Cluster::start(SLOW).await;
    let to = cluster.entry_address(0);
    let before = cluster.started();
    let job = tokio::spawn(post(to, "wave", 30_000));
    until("the first tasks run", async || {
        cluster.started() >= before + 3
    })
    .await;
    assert_that!(cancel(to, "wave").await, eq(204));
    let failure = job.await.unwrap().unwrap().body["failure"].clone();
    assert_that!(failure["reason"], eq(&json!("cancelled")));
    assert_that!(failure["not_run"], eq(&json!(false)));
    let listed = failure["may_have_run"].as_array().map_or(0, Vec::len);
    assert_that!(listed, ge(cluster.started() - before));
    nothing_more_starts(&cluster).await;
    assert_that!(cancel(to, "wave").await, eq(404));
    assert_ne!(failure, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels() {
    let cluster = Cluster::start(SLOW).await;
    let gone = post(cluster.entry_address(0), "gone", RUN_MS).await;
    assert_that!(gone, err(eq(&CallError::Timeout)));
    nothing_more_starts(&cluster).await;
}
