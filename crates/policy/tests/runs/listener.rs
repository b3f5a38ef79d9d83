//! Targets that refuse connections, and what their refusals leave open.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::MAX_LEASE_MS;
use super::bench::RUN_LEASE_MS;
use super::bench::STOP_MS;
use super::bench::disconnected;
use super::bench::heartbeat;
use super::bench::is_done;
use super::bench::is_interrupted;

const STEP_MS: u64 = 10;
/// Longest time that a run goes on after its last renewal, on a target whose clock is 2% slow.
const LONGEST_RUN_MS: u64 = RUN_LEASE_MS * 102 / 100 + 1 + STOP_MS;

/// A harness with the listed run "a" of the task "s", and when its lease was last renewed.
fn with_listed_run() -> (Harness, Moment) {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_with(&[("a", 1)], &[]);
    let renewed_at = harness.last_poll().sent_at;
    (harness, renewed_at)
}

/// Refuses each poll until `until`, or until a run has ended.
fn refuse_polls(harness: &mut Harness, until: Moment) {
    let mut answered = harness.polls.len() - 1;
    while harness.now < until && harness.ended.is_empty() {
        if answered < harness.polls.len() {
            answered = harness.polls.len();
            harness.answer_poll(PollOutcome::NotListening);
        }
        harness.advance(STEP_MS);
    }
}

#[googletest::test]
fn runs_of_a_target_that_refuses_connections_end_only_with_their_lease() {
    for breaks_first in [true, false] {
        let (mut harness, renewed_at) = with_listed_run();
        if breaks_first {
            harness.answer_poll(disconnected());
        }
        refuse_polls(&mut harness, renewed_at + Millis::new(LONGEST_RUN_MS));
        expect_that!(harness.ended, is_empty());
        expect_that!(harness.goodbye_count, eq(1));
        let longest = harness.now + Millis::new(LONGEST_RUN_MS);
        refuse_polls(&mut harness, longest);
        expect_that!(harness.ended.len(), eq(1));
        expect_true!(is_interrupted(&harness.ended[0].1));
    }
}

#[googletest::test]
fn a_run_goes_on_over_a_failure_of_the_listener_of_its_target() {
    let (mut harness, renewed_at) = with_listed_run();
    harness.answer_poll(disconnected());
    refuse_polls(&mut harness, renewed_at + Millis::new(700));
    harness.answer_poll_with(&[("a", 1)], &[]);
    expect_that!(harness.announcement_count, eq(2));
    expect_that!(harness.stops, is_empty());
    harness.advance(300);
    harness.answer_poll_with(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
    expect_that!(harness.crashes, is_empty());
}

#[googletest::test]
fn no_lease_is_renewed_while_connections_are_refused() {
    let (mut harness, renewed_at) = with_listed_run();
    let polls = harness.polls.len();
    refuse_polls(&mut harness, renewed_at + Millis::new(700));
    let renewals = harness.polls[polls..].iter();
    expect_that!(
        renewals.filter(|poll| poll.lease_until.is_some()).count(),
        eq(0)
    );
}

#[googletest::test]
fn a_target_that_listens_no_more_for_a_whole_lease_counts_as_crashed_once_before_its_runs_end() {
    let (mut harness, renewed_at) = with_listed_run();
    harness.answer_poll(disconnected());
    let until = renewed_at + Millis::new(3 * LONGEST_RUN_MS);
    refuse_polls(&mut harness, until);
    expect_that!(harness.crashes.len(), eq(1));
    expect_that!(harness.crashes[0].len(), eq(1));
    expect_that!(harness.ends_before_crash, elements_are![eq(&0)]);
    harness.ended.clear();
    refuse_polls(&mut harness, until);
    harness.answer_poll_of_incarnation(2);
    expect_that!(harness.crashes.len(), eq(1));
}

#[googletest::test]
fn an_idle_target_counts_as_crashed_no_sooner_than_one_with_runs() {
    let mut harness = Harness::with_ready_target();
    harness.advance(2 * MAX_LEASE_MS);
    harness.answer_poll_with(&[], &[]);
    let refused_at = harness.now;
    let until = refused_at + Millis::new(LONGEST_RUN_MS - STEP_MS);
    refuse_polls(&mut harness, until);
    expect_that!(harness.crashes, is_empty());
    let longest = harness.now + Millis::new(200);
    refuse_polls(&mut harness, longest);
    expect_that!(harness.crashes.len(), eq(1));
}

#[googletest::test]
fn the_exit_of_a_draining_target_is_no_crash_however_long_it_is_away() {
    let (mut harness, renewed_at) = with_listed_run();
    let mut draining = heartbeat("t-1", 1, 2);
    draining.is_draining = true;
    harness.handle(RunsEvent::Heartbeat(draining));
    harness.answer_poll(disconnected());
    let until = renewed_at + Millis::new(3 * LONGEST_RUN_MS);
    refuse_polls(&mut harness, until);
    expect_that!(harness.ended.len(), eq(1));
    harness.ended.clear();
    refuse_polls(&mut harness, until);
    expect_that!(harness.crashes, is_empty());
}

#[googletest::test]
fn a_takeover_is_not_completed_by_refused_connections() {
    let mut harness = Harness::new();
    let started_at = harness.now;
    refuse_polls(&mut harness, started_at + Millis::new(MAX_LEASE_MS));
    expect_that!(harness.runs.is_taken_over(), eq(false));
    let longest = harness.now + Millis::new(MAX_LEASE_MS * 2 / 100 + STOP_MS + 2 * STEP_MS);
    refuse_polls(&mut harness, longest);
    expect_that!(harness.runs.is_taken_over(), eq(true));
}
