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
use googletest::prelude::*;

const LEASE_MS: u64 = 1_000;

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
