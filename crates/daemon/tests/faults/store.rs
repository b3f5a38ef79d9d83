//! A store that is down, hangs or is slow for a whole run, or loses requests and replies.

use dfs_ids::Millis;
use dfs_standin::Mode;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::Load;
use crate::support::Record;
use crate::support::SERVICE;
use crate::support::SubmissionKind;
use crate::support::pause_ms;
use crate::support::run_under_load;
use crate::support::stop_and_verify;

const LOAD_MS: u64 = 3_000;

async fn check_service_without_store(seed: u64, mode: Mode) {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    cluster.platform.table.faults().set_mode(mode).await;
    cluster.platform.objects.faults().set_mode(mode).await;
    let load = Load::start(&cluster, seed).await;
    pause_ms(LOAD_MS).await;
    load.wait_for_progress().await;
    let records = stop_and_verify(load, &cluster, &[]).await;
    let (keyed, plain): (Vec<_>, Vec<_>) = records
        .iter()
        .partition(|r| r.kind == SubmissionKind::KeyedRequest);
    assert!(plain.into_iter().all(Record::is_complete));
    assert_that!(keyed, not(is_empty()));
    assert!(keyed.into_iter().all(is_refused_without_running));
}

/// Whether the key could not be claimed, or an earlier attempt may hold it; in both cases the
/// refused attempt must not have run.
fn is_refused_without_running(record: &Record) -> bool {
    let failure = record.answer.as_ref().ok().and_then(|a| a.failure.as_ref());
    failure.is_some_and(|failure| {
        let is_unavailable = failure.reason == FailureReason::KeyUnavailable;
        let is_retryable = is_unavailable && failure.retry_after_ms.is_some();
        failure.not_run && (is_retryable || failure.reason == FailureReason::KeyConflict)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn down() {
    check_service_without_store(51, Mode::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hanging() {
    check_service_without_store(52, Mode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slower_than_every_timeout() {
    check_service_without_store(53, Mode::SlowMs(Millis::new(2_000))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn losing_replies_and_requests() {
    run_under_load(54, &[], async |cluster, load| {
        for _ in 0..10 {
            cluster.platform.table.faults().lose_replies(2);
            cluster.platform.table.faults().lose_requests(1);
            load.wait_for_progress().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_claim_past_the_deadline_fails_with_a_deadline_reason() {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    let slow = Mode::SlowMs(Millis::new(300));
    cluster.platform.table.faults().set_mode(slow).await;
    let body = json!({
        "service": SERVICE,
        "body": { "echo": { "id": "late", "try": 0 } },
        "deadline_ms": 200,
        "request_key": "late",
    });
    let call = Call::post("/v1/requests", GROUP_TOKEN, &body);
    let reply = call.send(cluster.entry_address(0)).await.unwrap();
    let reason = reply.body["failure"]["reason"].as_str().unwrap();
    assert!(reason.starts_with("deadline_"), "{reply:?}");
}
