//! Changes of the configuration: races, lost requests and replies, a platform that is down or slow.

mod common;

use common::Bench;
use common::SHORT_TIMEOUT_MS;
use common::TIMEOUT_MS;
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

const OPERATORS: usize = 16;
const SLOW_MS: Millis = Millis::new(100);
/// Longer than any timeout.
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
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
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
async fn of_racing_operators_one_wins_and_the_others_learn_which() {
    let bench = Bench::spawn().await;
    let racers = (0..OPERATORS).map(|i| {
        let store = bench.config_store(TIMEOUT_MS);
        tokio::spawn(async move { store.apply(&change(0, &format!("c{i}"))).await })
    });
    let mut outcomes = Vec::new();
    for racer in racers.collect::<Vec<_>>() {
        outcomes.push(racer.await.unwrap());
    }
    let wins: Vec<usize> = (0..OPERATORS).filter(|i| outcomes[*i].is_ok()).collect();
    assert_that!(wins, len(eq(1)));
    let winner = format!("c{}", wins[0]);
    let lost = conflict(0, 1, &winner);
    let losers = outcomes.iter().filter_map(|o| o.as_ref().err());
    assert_that!(losers.collect::<Vec<_>>(), each(eq(&&lost)));
    let store = bench.config_store(TIMEOUT_MS);
    assert_that!(store.read_head().await, ok(some(eq(&head(1, &winner)))));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, &winner)))
    );
}

#[tokio::test]
async fn a_change_whose_reply_is_lost_is_accepted_once() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().lose_replies(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(bench.table.commits(), eq(1));
}

#[tokio::test]
async fn a_change_whose_request_is_lost_is_sent_again() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().lose_requests(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(bench.table.commits(), eq(1));
}

#[tokio::test]
async fn a_repeated_change_is_answered_like_the_first() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change(1, "b")).await.unwrap();
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(store.read_head().await, ok(some(eq(&head(2, "b")))));
}

#[tokio::test]
async fn a_change_id_stands_for_one_change_only() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
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
    assert_that!(bench.table.commits(), eq(1));
}

#[tokio::test]
async fn a_stale_base_is_a_conflict() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change(1, "b")).await.unwrap();
    assert_that!(
        store.apply(&change(1, "c")).await,
        err(eq(&conflict(1, 2, "b")))
    );
}

#[tokio::test]
async fn a_base_that_does_not_exist_is_named() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    assert_that!(
        store.apply(&change(4, "a")).await,
        err(eq(&ApplyError::BaseNotFound { base: version(4) }))
    );
}

#[tokio::test]
async fn a_change_that_is_lost_each_time_stays_in_doubt() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().lose_requests(u32::MAX);
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(outcome, err(matches_pattern!(ApplyError::Unknown { .. })));
    assert_that!(bench.table.commits(), eq(0));
}

#[tokio::test]
async fn a_lost_change_is_a_conflict_once_another_has_won() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().lose_requests(u32::MAX);
    store.apply(&change(0, "a")).await.unwrap_err();
    bench.table.faults().lose_requests(0);
    store.apply(&change(0, "b")).await.unwrap();
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(outcome, err(eq(&conflict(0, 1, "b"))));
}

#[tokio::test]
async fn a_store_that_is_down_accepts_nothing() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::Refuse).await;
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(
        outcome,
        err(matches_pattern!(ApplyError::NotApplied { .. }))
    );
    bench.table.faults().set_mode(Mode::Normal).await;
    assert_that!(store.read_head().await, ok(none()));
}

#[tokio::test]
async fn an_accepted_change_outlives_an_outage_right_after() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().lose_replies(1);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    // A client without a pooled connection, which would be reported as broken.
    let hasty = bench.config_store(SHORT_TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::Refuse).await;
    assert_that!(
        hasty.read_head().await,
        err(matches_pattern!(StoreError::Connect { .. }))
    );
    bench.table.faults().set_mode(Mode::Hang).await;
    assert_that!(
        hasty.read_head().await,
        err(matches_pattern!(StoreError::Timeout { .. }))
    );
    bench.table.faults().set_mode(Mode::Normal).await;
    let store = bench.config_store(TIMEOUT_MS);
    assert_that!(store.read_head().await, ok(some(eq(&head(1, "a")))));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, "a")))
    );
}

#[tokio::test]
async fn a_change_that_takes_effect_late_is_accepted_once() {
    let bench = Bench::spawn().await;
    let hasty = bench.config_store(SHORT_TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::HoldWrites).await;
    let outcome = hasty.apply(&change(0, "a")).await;
    assert_that!(outcome, err(anything()));
    assert_that!(bench.table.commits(), eq(0));
    bench.table.faults().set_mode(Mode::Normal).await;
    let store = bench.config_store(TIMEOUT_MS);
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(store.apply(&change(1, "b")).await, ok(eq(&version(2))));
    assert_that!(bench.table.commits(), eq(2));
}

#[tokio::test]
async fn a_change_that_takes_effect_late_loses_to_one_that_came_first() {
    let bench = Bench::spawn().await;
    let hasty = bench.config_store(SHORT_TIMEOUT_MS);
    let held = tokio::spawn(async move { hasty.apply(&change(0, "a")).await });
    bench.table.faults().set_mode(Mode::HoldWrites).await;
    let first = held.await.unwrap();
    bench.table.faults().set_mode(Mode::Normal).await;
    let store = bench.config_store(TIMEOUT_MS);
    let second = store.apply(&change(0, "b")).await;
    let winner = store.read_head().await.unwrap().unwrap();
    assert_that!(winner.version, eq(version(1)));
    // Each operator who repeats the change learns the same outcome.
    let again = store.apply(&change(0, "a")).await;
    assert_that!(again.is_ok(), eq(winner.change.as_str() == "a"));
    assert_that!(second.is_ok(), eq(winner.change.as_str() == "b"));
    assert_that!(first.is_ok() && second.is_ok(), eq(false));
}

#[tokio::test]
async fn a_slow_store_is_waited_for() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::SlowMs(SLOW_MS)).await;
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
}

#[tokio::test]
async fn a_store_slower_than_the_timeout_accepts_nothing_by_reads_alone() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(SHORT_TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::SlowMs(HOUR_MS)).await;
    let outcome = store.apply(&change(0, "a")).await;
    assert_that!(
        outcome,
        err(matches_pattern!(ApplyError::NotApplied { .. }))
    );
    bench.table.faults().set_mode(Mode::Normal).await;
    assert_that!(bench.table.commits(), eq(0));
}

#[tokio::test]
async fn a_large_configuration_goes_to_the_object_store() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    bench.objects.faults().lose_replies(1);
    let lost = store.apply(&change(0, "a")).await;
    assert_that!(lost, err(matches_pattern!(ApplyError::NotApplied { .. })));
    assert_that!(store.apply(&change(0, "a")).await, ok(eq(&version(1))));
    assert_that!(bench.objects.count(), eq(1));
    assert_that!(
        store.read_version(version(1)).await,
        ok(eq(&config(1, "a")))
    );
}

#[tokio::test]
async fn a_damaged_body_is_detected() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    store.apply(&change(0, "a")).await.unwrap();
    bench.objects.damage();
    assert_that!(
        store.read_version(version(1)).await,
        err(matches_pattern!(ConfigReadError::Corrupt { .. }))
    );
}

/// A change that brings its difference to the version before.
fn change_with_diff(base: u64, before: &str, id: &str) -> ConfigChange {
    let mut change = change(base, id);
    let diff = ConfigDiff::between(&config(base, before), &change.config);
    change.diff = Some(diff);
    change
}

#[tokio::test]
async fn a_reader_gets_the_differences_since_its_version() {
    let bench = Bench::spawn().await;
    let diff = change_with_diff(1, "a", "b").diff.unwrap();
    let diff_bytes = serde_json::to_vec(&diff).unwrap().len();
    let store = bench
        .config_store(TIMEOUT_MS)
        .with_max_inline_bytes(diff_bytes);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change_with_diff(1, "a", "b")).await.unwrap();
    store.apply(&change_with_diff(2, "b", "c")).await.unwrap();

    let update = store.read_update(version(1), version(3)).await.unwrap();
    let ConfigUpdate::Diffs(diffs) = &update else {
        panic!("whole: {update:?}")
    };
    assert_that!(diffs, len(eq(2)));
    let mut holder = ConfigHolder::default();
    holder.adopt_if_newer(config(1, "a"));
    holder.apply_update(update).unwrap();
    assert_eq!(**holder.current().unwrap(), config(3, "c"));
}

#[tokio::test]
async fn a_reader_without_a_version_or_a_row_without_a_difference_needs_the_whole() {
    let bench = Bench::spawn().await;
    let store = bench.config_store(TIMEOUT_MS).with_max_inline_bytes(0);
    store.apply(&change(0, "a")).await.unwrap();
    store.apply(&change_with_diff(1, "a", "b")).await.unwrap();
    let whole = ConfigUpdate::Full(Box::new(config(2, "b")));
    for held in [0, 1] {
        let update = store.read_update(version(held), version(2)).await;
        assert_that!(update, ok(eq(&whole)));
    }
}
