//! The platform's store down, hanging or slow for a whole run, and replies that it loses.

use dfs_ids::Millis;
use dfs_standin::Mode;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::GROUP_TOKEN;
use crate::support::Kind;
use crate::support::Load;
use crate::support::Record;
use crate::support::SERVICE;
use crate::support::Shape;
use crate::support::judge;
use crate::support::pause_ms;
use crate::support::under_load;

const RUN_MS: u64 = 3_000;

async fn serves_without_store(seed: u64, mode: Mode) {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    cluster.platform.table.faults().set_mode(mode).await;
    cluster.platform.objects.faults().set_mode(mode).await;
    let load = Load::start(&cluster, seed).await;
    pause_ms(RUN_MS).await;
    load.flows().await;
    let records = judge(load, &cluster, &[]).await;
    let (keyed, plain): (Vec<_>, Vec<_>) =
        records.iter().partition(|r| r.kind == Kind::KeyedRequest);
    assert!(plain.into_iter().all(Record::is_complete));
    assert_that!(keyed, not(is_empty()));
    assert!(keyed.into_iter().all(is_refused_honestly));
}

/// The key could not be claimed, or an earlier try may hold it; in neither case did this one run.
fn is_refused_honestly(record: &Record) -> bool {
    let failure = record.answer.as_ref().ok().and_then(|a| a.failure.as_ref());
    failure.is_some_and(|failure| {
        let is_unavailable = failure.reason == FailureReason::KeyUnavailable;
        let may_return = is_unavailable && failure.retry_after_ms.is_some();
        failure.not_run && (may_return || failure.reason == FailureReason::KeyConflict)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn down() {
    serves_without_store(51, Mode::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hanging() {
    serves_without_store(52, Mode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slower_than_every_timeout() {
    serves_without_store(53, Mode::SlowMs(Millis::new(2_000))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn losing_replies_and_requests() {
    under_load(54, &[], async |cluster, load| {
        for _ in 0..10 {
            cluster.platform.table.faults().lose_replies(2);
            cluster.platform.table.faults().lose_requests(1);
            load.flows().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_outlasts_the_deadline_is_late_and_not_malformed() {
    let cluster = Cluster::start(Shape::DEFAULT).await;
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
