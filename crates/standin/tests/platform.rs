//! Tests of the platform stand-ins and of fault injection, by handle and over HTTP.

use std::sync::Arc;

use dfs_ids::Millis;
use dfs_standin::Mode;
use dfs_standin::Platform;
use dfs_store::CommitError;
use dfs_store::Condition;
use dfs_store::HttpTable;
use dfs_store::Row;
use dfs_store::RowKey;
use dfs_store::RowWrite;
use dfs_store::StoreError;
use dfs_store::TableService;
use googletest::prelude::*;
use serde_json::json;
use tokio::net::UdpSocket;

mod common;

use common::get;
use common::post;

const TIMEOUT_MS: Millis = Millis::new(30_000);

fn client(platform: &Platform) -> Arc<dyn TableService> {
    Arc::new(HttpTable::new(platform.table.address(), TIMEOUT_MS))
}

fn insert(key: &str, n: u32) -> RowWrite {
    RowWrite::insert(RowKey::new(key), json!(n))
}

#[tokio::test]
async fn a_commit_is_applied_whole_or_not_at_all() {
    let platform = Platform::spawn().await.unwrap();
    let table = client(&platform);
    table.commit(vec![insert("a", 1)]).await.unwrap();
    let conflict = table.commit(vec![insert("b", 2), insert("a", 2)]).await;
    let keys = vec![RowKey::new("a")];
    assert_that!(conflict, err(eq(&CommitError::Conflict { keys })));
    let rows = table.scan(RowKey::new("")).await.unwrap();
    assert_that!(rows, len(eq(1)));
}

#[tokio::test]
async fn a_commit_checks_the_conditions_of_its_writes() {
    let platform = Platform::spawn().await.unwrap();
    let table = client(&platform);
    let first = table.commit(vec![insert("a", 1)]).await.unwrap();
    let put_at = |revision| RowWrite::put(RowKey::new("a"), Condition::At(revision), json!(2));
    let second = table.commit(vec![put_at(first)]).await.unwrap();
    assert_that!(second, gt(first));
    assert_that!(table.commit(vec![put_at(first)]).await, err(anything()));
    let delete = RowWrite::delete(RowKey::new("a"), Condition::At(second));
    table.commit(vec![delete]).await.unwrap();
    let third = table.commit(vec![insert("a", 3)]).await.unwrap();
    assert_that!(third, gt(second));
}

#[tokio::test]
async fn a_read_returns_rows_in_the_order_of_the_requested_keys() {
    let platform = Platform::spawn().await.unwrap();
    let table = client(&platform);
    let writes = vec![insert("p/2", 2), insert("p/1", 1), insert("q/1", 3)];
    table.commit(writes).await.unwrap();
    let keys = ["q/1", "none", "p/1"].map(RowKey::new).to_vec();
    let rows = table.read(keys).await.unwrap();
    let values: Vec<_> = rows.into_iter().map(|r| r.map(|r| r.value)).collect();
    assert_that!(values, eq(&[Some(json!(3)), None, Some(json!(1))]));
    let scanned = table.scan(RowKey::new("p/")).await.unwrap();
    let value = |row: &Row| row.value.clone();
    let values: Vec<_> = scanned.iter().map(value).collect();
    assert_that!(values, eq(&[json!(1), json!(2)]));
}

#[tokio::test]
async fn the_control_address_works_while_the_service_refuses_connections() {
    let platform = Platform::spawn().await.unwrap();
    let control = platform.table.control_address();
    let state = post(control, "/control", &json!({"mode": "refuse"})).await;
    assert_that!(state["mode"], eq(&json!("refuse")));
    let refused = client(&platform).scan(RowKey::new("")).await;
    assert_that!(refused, err(matches_pattern!(StoreError::Connect { .. })));
    post(
        control,
        "/control",
        &json!({"mode": "normal", "lose_replies": 1}),
    )
    .await;
    let table = client(&platform);
    let lost = table.commit(vec![insert("a", 1)]).await;
    assert_that!(lost, err(matches_pattern!(CommitError::Unknown { .. })));
    assert_that!(platform.table.commits(), eq(1));
    assert_that!(table.scan(RowKey::new("")).await, ok(len(eq(1))));
}

#[tokio::test]
async fn refuse_mode_closes_open_connections() {
    let platform = Platform::spawn().await.unwrap();
    let table = client(&platform);
    table.scan(RowKey::new("")).await.unwrap();
    platform.table.faults().set_mode(Mode::Refuse).await;
    assert_that!(table.scan(RowKey::new("")).await, err(anything()));
    platform.table.faults().set_mode(Mode::Normal).await;
    assert_that!(
        client(&platform).scan(RowKey::new("")).await,
        ok(anything())
    );
}

#[tokio::test]
async fn a_lost_request_has_no_effect() {
    let platform = Platform::spawn().await.unwrap();
    platform.table.faults().lose_requests(1);
    let lost = client(&platform).commit(vec![insert("a", 1)]).await;
    assert_that!(lost, err(matches_pattern!(CommitError::Unknown { .. })));
    assert_that!(platform.table.rows(""), is_empty());
}

#[tokio::test]
async fn the_statsd_server_records_lines() {
    let platform = Platform::spawn().await.unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let server = platform.statsd.address();
    socket.send_to(b"a:1|c\nb:2|h", server).await.unwrap();
    while platform.statsd.lines().len() < 2 {
        tokio::task::yield_now().await;
    }
    let control = platform.statsd.control_address();
    assert_that!(
        get(control, "/control/lines").await,
        eq(&json!(["a:1|c", "b:2|h"]))
    );
}
