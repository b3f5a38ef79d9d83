//! Leases that must end although requests are lost.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::RESUBMIT_MS;
use super::bench::RUN_LEASE_MS;
use super::bench::STOP_MS;
use super::bench::task;
use super::bench::unanswered;

const STEP_MS: u64 = 10;

/// A harness with the listed runs "a" of the task "s" and "b" of the task "t".
fn with_two_runs() -> Harness {
    let mut harness = Harness::with_ready_target();
    for (submission, name) in [("s", "a"), ("t", "b")] {
        harness.start(submission, name);
        harness.accept_start();
    }
    harness.answer_poll_with(&[("a", 1), ("b", 1)], &[]);
    harness
}

/// Answers polls with these runs, and no stop, until `until`.
fn lose_stops(harness: &mut Harness, running: &[(&str, u32)], until: Moment) {
    let mut lost_stops = harness.stops.len();
    while harness.now < until {
        harness.advance(STEP_MS);
        harness.answer_poll_with(running, &[]);
        while lost_stops < harness.stops.len() && harness.now < until {
            let request = harness.stops[lost_stops].clone();
            let outcome = unanswered();
            lost_stops += 1;
            harness.advance(STEP_MS);
            harness.handle(RunsEvent::StopCompleted { request, outcome });
        }
    }
}

/// Time by which the runs end whose lease begins at `now`, on a target whose clock is 2% slow.
fn latest_end(now: Moment, lease_ms: u64) -> Moment {
    now + Millis::new(lease_ms * 102 / 100 + 1 + STOP_MS)
}

/// Time by which the leases that polls have requested are over, whatever the target's clock does. It shows the time
/// of the harness when a poll is sent.
fn leases_end_by(harness: &Harness) -> Moment {
    let ends = harness.polls.iter().filter_map(|poll| {
        let until = Moment::from_millis(poll.lease_until?.0);
        Some(latest_end(poll.sent_at, until.since(poll.sent_at).get()))
    });
    ends.max().unwrap()
}

/// Stops were lost one after the other, while polls renewed the lease of the runs: they outlived the time after which
/// callers submit a job again.
#[googletest::test]
fn a_run_whose_stops_are_lost_ends_with_the_lease_that_it_had() {
    let mut harness = with_two_runs();
    let requested_at = harness.now;
    harness.handle(RunsEvent::StopTask { task: task("s") });
    lose_stops(
        &mut harness,
        &[("a", 1), ("b", 1)],
        requested_at + Millis::new(2_000),
    );
    let latest = latest_end(requested_at, RUN_LEASE_MS);
    expect_that!(leases_end_by(&harness), le(latest));
}

/// An agent that stood still after its entry had died left the runs to a lease that began after the death.
#[googletest::test]
fn no_lease_outlasts_the_time_after_which_callers_of_a_dead_entry_submit_again() {
    let mut harness = with_two_runs();
    let heard_at = harness.now;
    let earliest = Some(heard_at);
    harness.handle(RunsEvent::EntriesHeard { earliest });
    let resubmitted_at = heard_at + Millis::new(RESUBMIT_MS);
    while harness.now < resubmitted_at + Millis::new(1_000) {
        harness.advance(STEP_MS);
        harness.answer_poll_with(&[("a", 1), ("b", 1)], &[]);
    }
    expect_that!(leases_end_by(&harness), le(resubmitted_at));
}

#[googletest::test]
fn leases_are_as_long_as_before_once_the_run_that_had_to_stop_has_ended() {
    let mut harness = with_two_runs();
    harness.handle(RunsEvent::StopTask { task: task("s") });
    harness.advance(400);
    let stopped = || (1, "a", 1, RunOutcome::Interrupted("stopped".to_owned()));
    harness.answer_poll_with(&[("b", 1)], &[stopped()]);
    harness.advance(300);
    harness.answer_poll_with(&[("b", 1)], &[]);
    let latest = latest_end(harness.now, RUN_LEASE_MS);
    expect_that!(leases_end_by(&harness), eq(latest));
}

#[googletest::test]
fn an_unknown_run_whose_stops_are_lost_ends_with_the_lease_that_it_had() {
    let mut harness = with_two_runs();
    let listed_at = harness.now;
    let running = [("a", 1), ("b", 1), ("x", 4)];
    harness.answer_poll_with(&running, &[]);
    lose_stops(&mut harness, &running, listed_at + Millis::new(2_000));
    let latest = latest_end(listed_at, RUN_LEASE_MS);
    expect_that!(leases_end_by(&harness), le(latest));
}

#[googletest::test]
fn a_stop_without_an_answer_is_repeated_at_once_and_an_answered_one_later() {
    let mut harness = with_two_runs();
    harness.handle(RunsEvent::StopTask { task: task("s") });
    harness.advance(30);
    for (outcome, stops) in [(unanswered(), 2), (RequestOutcome::Done { clock: None }, 2)] {
        let request = harness.stops.last().unwrap().clone();
        harness.handle(RunsEvent::StopCompleted { request, outcome });
        expect_that!(harness.stops.len(), eq(stops));
    }
}

/// Each list of runs sent the stops of all unknown runs again, also while the last ones waited for their answers.
#[googletest::test]
fn stops_of_unknown_runs_do_not_pile_up() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        harness.advance(STEP_MS);
        harness.answer_poll_with(&[("old", 3)], &[]);
    }
    expect_that!(harness.stops.len(), eq(1));
}

#[googletest::test]
fn a_lease_on_a_clock_that_was_read_long_ago_is_over_by_the_slowest_clock() {
    let mut harness = Harness::with_ready_target();
    let read_at = harness.now;
    harness.advance(300);
    harness.start("s", "a");
    harness.accept_start();
    let requested_ms = harness.starts[0].lease_until.0 - read_at.as_micros() / 1_000;
    let longest_ms = requested_ms * 102 / 100 + STOP_MS;
    while harness.ended.is_empty() {
        harness.advance(1);
        harness.fail_poll();
    }
    expect_that!(harness.now, ge(read_at + Millis::new(longest_ms)));
}
