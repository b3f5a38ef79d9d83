//! Lists of runs with more ends than an answer holds.

use dfs_ids::Millis;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::MAX_LEASE_MS;
use super::bench::heartbeat;
use super::bench::is_done;
use super::bench::unanswered;

fn answer_incompletely(harness: &mut Harness, ended: &[(u64, &str, u32, RunOutcome)]) {
    let mut snapshot = harness.snapshot(&[], ended);
    snapshot.is_complete = false;
    harness.answer_poll(PollOutcome::Runs(snapshot));
}

#[googletest::test]
fn an_unanswered_start_is_not_resolved_by_an_incomplete_list() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(unanswered());
    answer_incompletely(&mut harness, &[(1, "x", 1, RunOutcome::Done)]);
    expect_that!(harness.ended, is_empty());
    expect_that!(harness.last_poll().wait_ms, eq(Millis::new(0)));
    harness.answer_poll_with(&[], &[(2, "a", 1, RunOutcome::Done)]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn a_run_that_an_incomplete_list_omits_is_not_reported_as_missing() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_with(&[("a", 1)], &[]);
    harness.advance(300);
    answer_incompletely(&mut harness, &[(1, "x", 1, RunOutcome::Done)]);
    expect_that!(harness.ended, is_empty());
    harness.answer_poll_with(&[], &[(2, "a", 1, RunOutcome::Done)]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn a_target_is_not_announced_before_the_ends_left_by_an_earlier_agent_are_read() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    answer_incompletely(&mut harness, &[(1, "x", 1, RunOutcome::Done)]);
    expect_that!(harness.runs.is_taken_over(), eq(false));
    expect_that!(harness.announcement_count, eq(0));
    harness.answer_poll_with(&[], &[(2, "a", 1, RunOutcome::Failed)]);
    expect_that!(harness.runs.is_taken_over(), eq(true));
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn a_target_reached_after_its_leases_have_lapsed_is_not_announced_before_its_ends_are_read() {
    let mut harness = Harness::new();
    harness.fail_poll();
    harness.advance(2 * MAX_LEASE_MS);
    expect_that!(harness.runs.is_taken_over(), eq(true));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    answer_incompletely(&mut harness, &[(1, "x", 1, RunOutcome::Done)]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 2)));
    expect_that!(harness.announcement_count, eq(0));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(1));
}
