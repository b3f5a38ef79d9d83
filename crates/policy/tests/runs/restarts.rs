//! A target that restarts under the id that it had.

use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::heartbeat;

#[googletest::test]
fn the_first_heartbeat_of_an_incarnation_that_a_snapshot_showed_ends_no_runs() {
    let mut harness = Harness::with_ready_target();
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn a_late_snapshot_of_an_earlier_incarnation_does_not_bring_it_back() {
    let mut harness = Harness::with_ready_target();
    let late_poll = harness.last_poll();
    harness.advance(300);
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
    harness.advance(10);
    let late_end = (1, "a", 1, RunOutcome::Failed);
    harness.answer_poll_from(1, late_poll, &[], &[late_end]);
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn a_late_snapshot_of_the_incarnation_before_the_last_heartbeat_ends_no_runs() {
    let mut harness = Harness::with_ready_target();
    let late_poll = harness.last_poll();
    harness.advance(10);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    harness.start("s", "a");
    harness.accept_start();
    let late_end = (1, "a", 1, RunOutcome::Failed);
    harness.answer_poll_from(1, late_poll, &[], &[late_end]);
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn an_incarnation_with_an_earlier_start_time_is_the_current_one() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
    harness.advance(10);
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.answer_poll_from(1, harness.last_poll(), &[], &[]);
    expect_that!(harness.ended.len(), eq(1));
}
