//! A presence row expires once its revision has not changed for a lease by the reader's own clock.

mod common;

use common::TIMEOUT_MS;
use common::TestPlatform;
use common::unlimited_budget;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_store::CommitError;
use dfs_store::Presence;
use dfs_store::PresenceRow;
use dfs_store::PresenceView;
use dfs_store::Revision;
use dfs_store::Row;
use dfs_store::RowKey;
use dfs_store::protocol::ReadReply;
use dfs_store::protocol::ScanReply;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const LEASE_MS: u64 = 1_000;

/// A row of another program.
fn foreign_row(key: &str, value: Value) -> Row {
    Row {
        key: RowKey::new(format!("presence/entry/{key}")),
        revision: Revision::new(99),
        value,
    }
}

fn row(entry: &str) -> PresenceRow {
    PresenceRow {
        entry: entry.parse().unwrap(),
        incarnation: Incarnation::new(7),
        domain: "aba".parse().unwrap(),
        address: "127.0.0.1:8081".parse().unwrap(),
        lease_ms: Millis::new(LEASE_MS),
    }
}

fn live(view: &PresenceView) -> Vec<String> {
    view.live().map(|r| r.entry.to_string()).collect()
}

fn expired(view: &PresenceView) -> Vec<String> {
    view.expired().map(|(entry, _)| entry.to_string()).collect()
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

async fn presence_of_two(platform: &TestPlatform) -> Presence {
    let presence = Presence::new(platform.client(TIMEOUT_MS), unlimited_budget());
    for entry in ["e1", "e2"] {
        presence.renew(&row(entry)).await.unwrap();
    }
    presence
}

#[tokio::test]
async fn a_row_that_is_not_renewed_expires() {
    let platform = TestPlatform::spawn().await;
    let presence = presence_of_two(&platform).await;
    let mut view = PresenceView::default();
    for ms in [0, 400, 800] {
        presence.renew(&row("e2")).await.unwrap();
        view.observe(&presence.list().await.unwrap(), at(ms));
        assert_that!(live(&view), eq(&["e1", "e2"]));
    }
    presence.renew(&row("e2")).await.unwrap();
    view.observe(&presence.list().await.unwrap(), at(LEASE_MS));
    assert_that!(live(&view), eq(&["e2"]));
    assert_that!(expired(&view), eq(&["e1"]));
    presence.renew(&row("e1")).await.unwrap();
    view.observe(&presence.list().await.unwrap(), at(LEASE_MS + 1));
    assert_that!(live(&view), eq(&["e1", "e2"]));
}

#[tokio::test]
async fn rows_do_not_expire_over_a_gap_between_reads() {
    let platform = TestPlatform::spawn().await;
    let presence = presence_of_two(&platform).await;
    let mut view = PresenceView::default();
    view.observe(&presence.list().await.unwrap(), at(0));
    view.observe(&presence.list().await.unwrap(), at(10 * LEASE_MS));
    assert_that!(live(&view), eq(&["e1", "e2"]));
    view.observe(&presence.list().await.unwrap(), at(10 * LEASE_MS + 600));
    view.observe(&presence.list().await.unwrap(), at(11 * LEASE_MS));
    assert_that!(expired(&view), eq(&["e1", "e2"]));
}

#[tokio::test]
async fn an_expired_row_is_removed_unless_it_was_renewed() {
    let platform = TestPlatform::spawn().await;
    let presence = presence_of_two(&platform).await;
    let rows = presence.list().await.unwrap();
    presence.renew(&row("e2")).await.unwrap();
    let e1 = "e1".parse().unwrap();
    let e2 = "e2".parse().unwrap();
    assert_that!(presence.remove(&e1, rows[0].revision).await, ok(eq(&())));
    assert_that!(
        presence.remove(&e2, rows[1].revision).await,
        err(matches_pattern!(CommitError::Conflict { .. }))
    );
    let mut view = PresenceView::default();
    view.observe(&presence.list().await.unwrap(), at(0));
    assert_that!(live(&view), eq(&["e2"]));
}

#[tokio::test]
async fn rows_that_cannot_be_of_their_entry_are_ignored_and_reported_once() {
    let platform = TestPlatform::spawn().await;
    let presence = presence_of_two(&platform).await;
    let foreign = |field: &str, value: Value| {
        let mut content = serde_json::to_value(row("x")).unwrap();
        content[field] = value;
        foreign_row("x", content)
    };
    let odd_rows = [
        foreign_row("x", Value::Null),
        foreign_row("x", json!(["x", 7, "aba", "127.0.0.1:8081", LEASE_MS])),
        foreign("entry", json!("e1")),
        foreign("entry", json!(["e1"])),
        foreign("address", json!("127.0.0.1:70000")),
        foreign("address", json!("127.0.0.1:0")),
        foreign("address", json!("0.0.0.0:8081")),
        foreign("lease_ms", json!(0)),
        foreign("lease_ms", json!(-1)),
        foreign("lease_ms", json!(u64::MAX)),
        foreign("lease_ms", json!(1e300)),
        foreign("incarnation", json!("7")),
    ];
    for odd_row in odd_rows {
        let mut view = PresenceView::default();
        let mut rows = presence.list().await.unwrap();
        rows.push(odd_row);
        let errors = view.observe(&rows, at(0));
        assert_that!(errors.len(), eq(1), "{:?}", rows[2]);
        assert_that!(live(&view), eq(&["e1", "e2"]), "{:?}", rows[2]);
        assert_that!(view.observe(&rows, at(10)), is_empty());
    }
}

/// Another program has overwritten the row of an entry that lives.
#[tokio::test]
async fn an_entry_whose_row_was_overwritten_expires_only_after_its_lease() {
    let platform = TestPlatform::spawn().await;
    let presence = presence_of_two(&platform).await;
    let mut rows = presence.list().await.unwrap();
    let mut view = PresenceView::default();
    view.observe(&rows, at(0));
    rows[0] = foreign_row("e1", json!({}));
    for ms in (100..LEASE_MS).step_by(100) {
        view.observe(&rows, at(ms));
        assert_that!(live(&view), eq(&["e1", "e2"]));
    }
    view.observe(&rows, at(LEASE_MS));
    assert_that!(live(&view), not(contains(eq("e1"))));
}

/// The reply to a list of rows was refused as a whole for one row, so that readers stopped following the list.
#[googletest::test]
fn a_row_that_cannot_be_decoded_does_not_spoil_the_reply() {
    let nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    for odd_value in [nested.as_str(), "1e999", "{\"a\":-1e999}"] {
        let rows = format!(
            r#"[{{"key":"k/1","revision":1,"value":{odd_value}}},{{"key":"k/2","revision":2,"value":7}}]"#
        );
        let reply = format!(r#"{{"rows":{rows}}}"#);
        let scanned: ScanReply = serde_json::from_str(&reply).unwrap();
        expect_that!(scanned.rows[0].value, eq(&Value::Null));
        expect_that!(scanned.rows[1].value, eq(&json!(7)));
        let read: ReadReply = serde_json::from_str(&reply).unwrap();
        let values: Vec<_> = read.rows.iter().flatten().map(|row| &row.value).collect();
        expect_that!(values, eq(&vec![&Value::Null, &json!(7)]));
    }
}
