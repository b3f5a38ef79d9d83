//! Changes of the configuration: concurrent changes, lost requests and replies, and a platform that
//! is down or slow.

mod common;

use common::SHORT_TIMEOUT_MS;
use common::TIMEOUT_MS;
use common::TestPlatform;
use common::change;
use common::config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_standin::Mode;
use dfs_store::ApplyError;
use dfs_store::ConfigChange;
use dfs_store::ConfigHead;
use dfs_store::ConfigReadError;
use dfs_store::StoreError;
use googletest::prelude::*;

const CONCURRENT_CHANGES: usize = 16;
const SLOW_MS: Millis = Millis::new(100);
/// Longer than any timeout of these tests.
const HOUR_MS: Millis = Millis::new(3_600_000);

fn version(n: u64) -> ConfigVersion {
    ConfigVersion::new(n)
}

fn head(n: u64, change: &str) -> ConfigHead {
    ConfigHead {
        version: version(n),
        change: change.parse().unwrap(),
    }
}

fn conflict(base: u64, winner: u64, change: &str) -> ApplyError {
    ApplyError::Conflict {
        base: version(base),
        winner: version(winner),
        winner_change: change.parse().unwrap(),
    }
}

#[tokio::test]
async fn an_accepted_change_is_the_head() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    assert_that!(store.read_head().await, ok(none()));
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(store.apply(&change(1, "b")).await, ok(eq(&version(2))));
    assert_that!(store.read_head().await, ok(some(eq(&head(2, "b")))));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, "a")))
    );
    assert_that!(
        store.read_version(version(2)).await,
        ok(eq(&config(2, "b")))
    );
    assert_that!(
        store.read_version(version(3)).await,
        err(eq(&ConfigReadError::VersionNotFound {
            version: version(3)
        }))
    );
}

#[tokio::test]
async fn one_of_many_concurrent_changes_wins_and_the_others_name_it() {
    let platform = TestPlatform::spawn().await;
    let tasks = (0..CONCURRENT_CHANGES).map(|i| {
        let store = platform.config_store(TIMEOUT_MS);
        tokio::spawn(async move { store.apply(&change(0, &format!("c{i}"))).await })
    });
    let mut outcomes = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        outcomes.push(task.await.unwrap());
    }
    let winners: Vec<usize> = (0..CONCURRENT_CHANGES)
        .filter(|i| outcomes[*i].is_ok())
        .collect();
    assert_that!(winners, len(eq(1)));
    let winner = format!("c{}", winners[0]);
    let expected = conflict(0, 1, &winner);
    let losers = outcomes.iter().filter_map(|o| o.as_ref().err());
    assert_that!(losers.collect::<Vec<_>>(), each(eq(&&expected)));
    let store = platform.config_store(TIMEOUT_MS);
    assert_that!(store.read_head().await, ok(some(eq(&head(1, &winner)))));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, &winner)))
    );
}

#[tokio::test]
async fn a_change_whose_reply_is_lost_is_accepted_once() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().lose_replies(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(platform.table.commits(), eq(1));
}

#[tokio::test]
async fn a_change_whose_request_is_lost_is_retried() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().lose_requests(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(platform.table.commits(), eq(1));
}

#[tokio::test]
async fn a_repeated_change_gets_the_result_of_the_first() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change(1, "b")).await.unwrap();
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(store.read_head().await, ok(some(eq(&head(2, "b")))));
}

#[tokio::test]
async fn a_change_id_cannot_be_reused_for_another_change() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    store.apply(&change(0, "a")).await.unwrap();
    let reused = ApplyError::ChangeReused {
        change: "a".parse().unwrap(),
        version: version(1),
    };
    let mut other_content = change(0, "a");
    other_content.config = config(1, "b");
    assert_that!(store.apply(&other_content).await, err(eq(&reused)));
    let other_base = change(1, "a");
    assert_that!(store.apply(&other_base).await, err(eq(&reused)));
    assert_that!(platform.table.commits(), eq(1));
}

#[tokio::test]
async fn a_stale_base_is_a_conflict() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change(1, "b")).await.unwrap();
    assert_that!(
        store.apply(&change(1, "c")).await,
        err(eq(&conflict(1, 2, "b")))
    );
}

#[tokio::test]
async fn a_missing_base_is_reported() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    assert_that!(
        store.apply(&change(4, "a")).await,
        err(eq(&ApplyError::BaseNotFound { base: version(4) }))
    );
}

#[tokio::test]
async fn a_change_whose_requests_are_all_lost_is_unknown() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().lose_requests(u32::MAX);
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(outcome, err(matches_pattern!(ApplyError::Unknown { .. })));
    assert_that!(platform.table.commits(), eq(0));
}

#[tokio::test]
async fn a_lost_change_conflicts_once_another_is_accepted() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().lose_requests(u32::MAX);
    store.apply(&change(0, "a")).await.unwrap_err();
    platform.table.faults().lose_requests(0);
    store.apply(&change(0, "b")).await.unwrap();
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(outcome, err(eq(&conflict(0, 1, "b"))));
}

#[tokio::test]
async fn no_change_is_accepted_while_the_table_service_is_down() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().set_mode(Mode::Refuse).await;
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(
        outcome,
        err(matches_pattern!(ApplyError::NotApplied { .. }))
    );
    platform.table.faults().set_mode(Mode::Normal).await;
    assert_that!(store.read_head().await, ok(none()));
}

#[tokio::test]
async fn an_accepted_change_survives_an_outage_that_follows() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform.table.faults().lose_replies(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    // A new client, since a pooled connection would give `ConnectionLost` in place of `Connect`.
    let short_timeout_store = platform.config_store(SHORT_TIMEOUT_MS);
    platform.table.faults().set_mode(Mode::Refuse).await;
    assert_that!(
        short_timeout_store.read_head().await,
        err(matches_pattern!(StoreError::Connect { .. }))
    );
    platform.table.faults().set_mode(Mode::Hang).await;
    assert_that!(
        short_timeout_store.read_head().await,
        err(matches_pattern!(StoreError::Timeout { .. }))
    );
    platform.table.faults().set_mode(Mode::Normal).await;
    let store = platform.config_store(TIMEOUT_MS);
    assert_that!(store.read_head().await, ok(some(eq(&head(1, "a")))));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, "a")))
    );
}

#[tokio::test]
async fn a_change_that_takes_effect_late_is_accepted_once() {
    let platform = TestPlatform::spawn().await;
    let short_timeout_store = platform.config_store(SHORT_TIMEOUT_MS);
    platform.table.faults().set_mode(Mode::HoldWrites).await;
    let outcome = short_timeout_store.apply(&change(0, "a")).await;
    assert_that!(outcome, err(anything()));
    assert_that!(platform.table.commits(), eq(0));
    platform.table.faults().set_mode(Mode::Normal).await;
    let store = platform.config_store(TIMEOUT_MS);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(store.apply(&change(1, "b")).await, ok(eq(&version(2))));
    assert_that!(platform.table.commits(), eq(2));
}

#[tokio::test]
async fn a_delayed_change_and_a_later_one_are_not_both_accepted() {
    let platform = TestPlatform::spawn().await;
    let short_timeout_store = platform.config_store(SHORT_TIMEOUT_MS);
    let delayed = tokio::spawn(async move { short_timeout_store.apply(&change(0, "a")).await });
    platform.table.faults().set_mode(Mode::HoldWrites).await;
    let first = delayed.await.unwrap();
    platform.table.faults().set_mode(Mode::Normal).await;
    let store = platform.config_store(TIMEOUT_MS);
    let second = store.apply(&change(0, "b")).await;
    let winner = store.read_head().await.unwrap().unwrap();
    assert_that!(winner.version, eq(version(1)));
    // Repeating the first change reports whether it won, however its first call ended.
    let repeated = store.apply(&change(0, "a")).await;
    assert_that!(repeated.is_ok(), eq(winner.change.as_str() == "a"));
    assert_that!(second.is_ok(), eq(winner.change.as_str() == "b"));
    assert_that!(first.is_ok() && second.is_ok(), eq(false));
}

#[tokio::test]
async fn a_change_waits_for_a_slow_table_service() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS);
    platform
        .table
        .faults()
        .set_mode(Mode::SlowMs(SLOW_MS))
        .await;
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
}

#[tokio::test]
async fn a_change_whose_reads_time_out_is_not_accepted() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(SHORT_TIMEOUT_MS);
    platform
        .table
        .faults()
        .set_mode(Mode::SlowMs(HOUR_MS))
        .await;
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(
        outcome,
        err(matches_pattern!(ApplyError::NotApplied { .. }))
    );
    platform.table.faults().set_mode(Mode::Normal).await;
    assert_that!(platform.table.commits(), eq(0));
}

#[tokio::test]
async fn a_large_configuration_goes_to_the_object_store() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    platform.objects.faults().lose_replies(1);
    let unconfirmed = store.apply(&change(0, "a")).await;
    assert_that!(
        unconfirmed,
        err(matches_pattern!(ApplyError::NotApplied { .. }))
    );
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(platform.objects.count(), eq(1));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, "a")))
    );
}

#[tokio::test]
async fn a_corrupt_body_is_detected() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    store.apply(&change(0, "a")).await.unwrap();
    platform.objects.damage();
    assert_that!(
        store.read_version(version(1)).await,
        err(matches_pattern!(ConfigReadError::Corrupt { .. }))
    );
}

/// A change that includes its diff against the previous version, whose change had the id
/// `previous_id`.
fn change_with_diff(base: u64, previous_id: &str, id: &str) -> ConfigChange {
    let mut change = change(base, id);
    let diff = ConfigDiff::between(&config(base, previous_id), &change.config);
    change.diff = Some(diff);
    change
}

#[tokio::test]
async fn a_reader_gets_the_diffs_since_its_version() {
    let platform = TestPlatform::spawn().await;
    let diff = change_with_diff(1, "a", "b").diff.unwrap();
    let diff_bytes = serde_json::to_vec(&diff).unwrap().len();
    let store = platform
        .config_store(TIMEOUT_MS)
        .with_max_inline_bytes(diff_bytes);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change_with_diff(1, "a", "b")).await.unwrap();
    store.apply(&change_with_diff(2, "b", "c")).await.unwrap();

    let update = store.read_update(version(1), version(3)).await.unwrap();
    let ConfigUpdate::Diffs(diffs) = &update else {
        panic!("expected diffs, got the whole configuration: {update:?}")
    };
    assert_that!(diffs, len(eq(2)));
    let mut holder = ConfigHolder::default();
    holder.adopt_if_newer(config(1, "a"));
    holder.apply_update(update).unwrap();
    assert_eq!(**holder.current().unwrap(), config(3, "c"));
}

#[tokio::test]
async fn without_a_held_version_or_a_diff_the_whole_configuration_is_read() {
    let platform = TestPlatform::spawn().await;
    let store = platform.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change_with_diff(1, "a", "b")).await.unwrap();
    let whole = ConfigUpdate::Full(Box::new(config(2, "b")));
    for held in [0, 1] {
        let update = store.read_update(version(held), version(2)).await;
        assert_that!(update, ok(eq(&whole)));
    }
}
