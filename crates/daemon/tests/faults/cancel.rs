//! Cancellation by request, and by a caller that disconnects.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Call;
use crate::support::CallError;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::pause_ms;
use crate::support::wait_until;

const RUN_MS: u64 = 500;
const TASKS: usize = 40;
/// Three targets with one slot each, so that most tasks of a job are queued.
const ONE_SLOT: ClusterOptions = ClusterOptions {
    slots: 1,
    ..ClusterOptions::DEFAULT
};

async fn post_job(
    address: SocketAddr,
    submission: &str,
    timeout_ms: u64,
) -> Result<Reply, CallError> {
    let task = json!({ "run_ms": RUN_MS, "echo": submission });
    let body = json!({ "service": SERVICE, "tasks": vec![task; TASKS] });
    let call = Call {
        submission,
        timeout: Duration::from_millis(timeout_ms),
        ..Call::post("/v1/jobs", GROUP_TOKEN, &body)
    };
    call.send(address).await
}

async fn cancel(address: SocketAddr, submission: &str) -> u16 {
    let path = format!("/v1/jobs/{submission}");
    let call = Call {
        method: Method::DELETE,
        ..Call::get(&path, GROUP_TOKEN)
    };
    call.send(address).await.unwrap().status
}

/// Checks that no task of the cancelled job starts any more, and that other submissions complete.
async fn assert_nothing_more_starts(cluster: &Cluster) {
    pause_ms(2 * RUN_MS).await;
    let starts = cluster.start_count();
    pause_ms(3 * RUN_MS).await;
    assert_that!(cluster.start_count(), eq(starts));
    cluster.wait_until_recovered().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_is_answered_and_starts_no_further_tasks() {
    let cluster = Cluster::start(ONE_SLOT).await;
    let address = cluster.entry_address(0);
    let initial_starts = cluster.start_count();
    let job = tokio::spawn(post_job(address, "wave", 30_000));
    wait_until("the first tasks run", async || {
        cluster.start_count() >= initial_starts + 3
    })
    .await;
    assert_that!(cancel(address, "wave").await, eq(204));
    let failure = job.await.unwrap().unwrap().body["failure"].clone();
    assert_that!(failure["reason"], eq(&json!("cancelled")));
    assert_that!(failure["not_run"], eq(&json!(false)));
    let may_have_run = failure["may_have_run"].as_array().map_or(0, Vec::len);
    assert_that!(may_have_run, ge(cluster.start_count() - initial_starts));
    assert_nothing_more_starts(&cluster).await;
    assert_that!(cancel(address, "wave").await, eq(404));
    assert_ne!(failure, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_job() {
    let cluster = Cluster::start(ONE_SLOT).await;
    let reply = post_job(cluster.entry_address(0), "gone", RUN_MS).await;
    assert_that!(reply, err(eq(&CallError::Timeout)));
    assert_nothing_more_starts(&cluster).await;
}
