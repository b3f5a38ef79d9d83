//! Single scenarios.

use dfs_ids::Millis;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::TargetTime;
use dfs_wire::session::NotRunReason;
use googletest::prelude::*;

use super::bench::FIRST_TOKEN;
use super::bench::Harness;
use super::bench::MAX_LEASE_MS;
use super::bench::RUN_LEASE_MS;
use super::bench::STOP_MS;
use super::bench::disconnected;
use super::bench::heartbeat;
use super::bench::is_done;
use super::bench::is_interrupted;
use super::bench::refused;
use super::bench::task;
use super::bench::unanswered;

#[googletest::test]
fn an_ended_run_is_reported_and_acknowledged_by_the_next_poll() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_with(&[("a", 1)], &[]);
    expect_that!(harness.ended.len(), eq(0));
    harness.answer_poll_with(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
    expect_that!(harness.polls.last().unwrap().last_acked_end, eq(1));
}

#[googletest::test]
fn an_unanswered_start_ends_as_not_started_once_a_poll_with_a_higher_token_does_not_list_it() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    let pending = harness.polls.last().unwrap().clone();
    harness.answer_start(unanswered());
    // The poll in flight was sent with the old token and cannot resolve the start.
    expect_that!(pending.token, eq(FencingToken(FIRST_TOKEN)));
    let outcome = PollOutcome::Runs(harness.snapshot(&[], &[]));
    let poll = pending;
    harness.handle(RunsEvent::PollCompleted { poll, outcome });
    expect_that!(harness.ended.len(), eq(0));
    expect_that!(
        harness.polls.last().unwrap().token,
        gt(FencingToken(FIRST_TOKEN))
    );
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(matches!(harness.ended[0].1, RunEnd::NotStarted(_)));
}

#[googletest::test]
fn an_unanswered_start_that_a_poll_lists_is_kept_as_running() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(unanswered());
    harness.answer_poll_with(&[("a", 1)], &[]);
    harness.answer_poll_with(&[("a", 1)], &[]);
    expect_that!(harness.ended.len(), eq(0));
    harness.answer_poll_with(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn runs_of_an_unreachable_target_end_after_their_lease_and_not_before() {
    let mut harness = Harness::with_ready_target();
    // Leases granted to an earlier incarnation of the agent have expired.
    harness.advance(2 * MAX_LEASE_MS);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_with(&[("a", 1)], &[]);
    let renewed_at = harness.now;
    harness.fail_poll();
    let drift_ms = RUN_LEASE_MS * 2 / 100;
    let mut failed = harness.polls.len();
    while harness.now < renewed_at + dfs_ids::Millis::new(RUN_LEASE_MS + drift_ms + STOP_MS - 10) {
        harness.advance(10);
        if harness.polls.len() > failed {
            failed = harness.polls.len();
            harness.fail_poll();
        }
        expect_that!(harness.ended.len(), eq(0));
    }
    harness.advance(100);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
}

#[googletest::test]
fn an_unreachable_target_is_withdrawn_until_it_answers_again() {
    let mut harness = Harness::with_ready_target();
    expect_that!(harness.announcement_count, eq(1));
    for _ in 0..20 {
        harness.fail_poll();
        harness.advance(50);
    }
    expect_that!(harness.goodbye_count, eq(1));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(2));
}

#[googletest::test]
fn one_lost_answer_does_not_make_a_target_unreachable() {
    let mut harness = Harness::with_ready_target();
    harness.fail_poll();
    harness.advance(60);
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.goodbye_count, eq(0));
}

#[googletest::test]
fn runs_of_an_earlier_agent_incarnation_are_stopped_before_the_target_is_announced() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    harness.answer_poll_with(&[("old", 3)], &[]);
    expect_that!(harness.runs.is_taken_over(), eq(false));
    expect_that!(harness.announcement_count, eq(0));
    expect_that!(harness.stops.len(), eq(1));
    expect_that!(harness.stops[0].run, eq(RunNumber(3)));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.runs.is_taken_over(), eq(true));
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn takeover_of_a_target_that_never_answers_completes_after_the_longest_lease() {
    let mut harness = Harness::new();
    harness.advance(MAX_LEASE_MS);
    expect_that!(harness.runs.is_taken_over(), eq(false));
    harness.advance(MAX_LEASE_MS * 2 / 100 + STOP_MS + 10);
    expect_that!(harness.runs.is_taken_over(), eq(true));
}

#[googletest::test]
fn a_token_that_is_too_low_is_raised_exponentially_until_accepted() {
    let mut harness = Harness::new();
    let highest = FIRST_TOKEN + 1_000_000;
    let mut polls = 0;
    while harness.polls.last().unwrap().token.0 <= highest {
        harness.answer_poll(PollOutcome::Fenced);
        polls += 1;
    }
    expect_that!(polls, le(25));
}

#[googletest::test]
fn a_second_attempt_starts_with_a_higher_run_number_after_the_first_has_ended() {
    let mut harness = Harness::with_ready_target();
    harness.start("first", "a");
    harness.accept_start();
    harness.start("second", "a");
    expect_that!(harness.starts.len(), eq(1));
    expect_that!(harness.stops.len(), eq(1));
    harness.answer_poll_with(
        &[],
        &[(1, "a", 1, RunOutcome::Interrupted("stopped".to_owned()))],
    );
    expect_that!(harness.starts.len(), eq(2));
    expect_that!(harness.starts[1].run, eq(RunNumber(2)));
    expect_that!(harness.ended[0].0, eq(&task("first")));
}

#[googletest::test]
fn a_stop_waits_for_the_answer_to_its_start() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.handle(RunsEvent::StopTask { task: task("s") });
    expect_that!(harness.stops.len(), eq(0));
    harness.accept_start();
    expect_that!(harness.stops.len(), eq(1));
}

#[googletest::test]
fn a_lost_stop_is_repeated_while_the_run_is_listed() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.handle(RunsEvent::StopTask { task: task("s") });
    harness.advance(200);
    harness.answer_poll_with(&[("a", 1)], &[]);
    expect_that!(harness.stops.len(), eq(2));
}

#[googletest::test]
fn a_start_refused_for_lack_of_capacity_ends_as_busy() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(refused(Refusal::NoCapacity));
    let is_busy = matches!(harness.ended[0].1, RunEnd::NotStarted(NotRunReason::Busy));
    expect_true!(is_busy);
}

#[googletest::test]
fn a_start_refused_as_malformed_ends_as_not_started_instead_of_failed() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(refused(Refusal::Malformed));
    expect_that!(harness.ended.len(), eq(1));
    let end = &harness.ended[0].1;
    let is_not_started = matches!(end, RunEnd::NotStarted(NotRunReason::NotOffered));
    expect_true!(is_not_started);
}

#[googletest::test]
fn a_start_with_a_stale_run_number_is_retried_with_a_higher_one() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(refused(Refusal::StaleRun));
    expect_that!(harness.starts.len(), eq(2));
    expect_that!(harness.starts[1].run, eq(RunNumber(2)));
}

#[googletest::test]
fn a_new_target_incarnation_interrupts_the_runs_of_the_previous_one() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
    harness.answer_poll_of_incarnation(2);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
}

#[googletest::test]
fn an_outdated_heartbeat_is_ignored() {
    let mut harness = Harness::with_ready_target();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 7)));
    harness.answer_poll_of_incarnation(2);
    harness.start("s", "a");
    harness.accept_start();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 6)));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-0", 1, 90)));
    expect_that!(harness.ended.len(), eq(0));
}

#[googletest::test]
fn a_draining_target_is_withdrawn_and_keeps_its_runs() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    let mut draining = heartbeat("t-1", 1, 2);
    draining.is_draining = true;
    harness.handle(RunsEvent::Heartbeat(draining));
    expect_that!(harness.goodbye_count, eq(1));
    expect_that!(harness.ended.len(), eq(0));
    harness.answer_poll_with(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn a_lease_end_is_computed_on_the_clock_of_the_target() {
    let mut harness = Harness::with_ready_target();
    let clock_ms = harness.now.as_micros() / 1_000;
    harness.advance(100);
    harness.start("s", "a");
    let until = harness.starts[0].lease_until;
    expect_that!(until, eq(TargetTime(clock_ms + 100 + RUN_LEASE_MS)));
}

#[googletest::test]
fn an_overdue_poll_is_followed_by_another_one_before_it_times_out() {
    let mut harness = Harness::with_ready_target();
    let sent = harness.polls.len();
    harness.advance(200);
    expect_that!(harness.polls.len(), eq(sent));
    harness.advance(100);
    expect_that!(harness.polls.len(), eq(sent + 1));
}

#[googletest::test]
fn a_poll_failure_is_ignored_if_a_later_poll_was_answered() {
    let mut harness = Harness::with_ready_target();
    let first = harness.polls.last().unwrap().clone();
    harness.advance(300);
    harness.answer_poll_with(&[], &[]);
    let message = "no answer".to_owned();
    let outcome = PollOutcome::Failed { message };
    harness.handle(RunsEvent::PollCompleted {
        poll: first,
        outcome,
    });
    harness.start("s", "a");
    harness.accept_start();
    harness.advance(300);
    // A poll requests a lease only while polls succeed.
    expect_that!(harness.polls.last().unwrap().lease_until, some(anything()));
}

#[googletest::test]
fn an_unanswered_start_is_resolved_by_a_poll_that_does_not_wait_for_the_pending_one() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    let pending_polls = harness.polls.len();
    harness.answer_start(unanswered());
    expect_that!(harness.polls.len(), eq(pending_polls + 1));
    let poll = harness.polls.last().unwrap();
    expect_that!(poll.token, gt(FencingToken(FIRST_TOKEN)));
    expect_that!(poll.wait_ms, eq(Millis::new(0)));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.ended.len(), eq(1));
}

#[googletest::test]
fn an_unanswered_start_is_polled_for_at_once_only_one_time() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.answer_start(unanswered());
    let polls = harness.polls.len();
    harness.advance(1);
    expect_that!(harness.polls.len(), eq(polls));
}

#[googletest::test]
fn runs_are_kept_when_a_connection_breaks_and_the_target_answers_on_another() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll(disconnected());
    harness.answer_poll_with(&[("a", 1)], &[]);
    harness.answer_poll(PollOutcome::NotListening);
    expect_that!(harness.ended.len(), eq(0));
}

#[googletest::test]
fn a_run_whose_lease_expired_counts_as_crashed_only_if_the_target_has_restarted() {
    for (incarnation, crashes) in [(1, 0), (2, 1)] {
        let mut harness = Harness::with_ready_target();
        harness.start("s", "a");
        harness.accept_start();
        for _ in 0..100 {
            harness.fail_poll();
            harness.advance(25);
        }
        expect_that!(harness.ended.len(), eq(1));
        expect_that!(harness.crashes.len(), eq(0));
        harness.answer_poll_of_incarnation(incarnation);
        expect_that!(harness.crashes.len(), eq(crashes));
    }
}

#[googletest::test]
fn runs_are_kept_while_a_target_that_refused_a_connection_answers_in_between() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    for _ in 0..4 {
        harness.answer_poll(PollOutcome::NotListening);
        harness.advance(50);
        harness.answer_poll_with(&[("a", 1)], &[]);
    }
    expect_that!(harness.ended.len(), eq(0));
    expect_that!(harness.announcement_count, eq(5));
}

#[googletest::test]
fn a_heartbeat_is_stored_again_only_until_confirmed_and_when_it_says_something_new() {
    let mut harness = Harness::with_ready_target();
    expect_that!(harness.stored.len(), eq(1));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 2)));
    expect_that!(harness.stored.len(), eq(2));
    let stored = harness.stored[1].clone();
    harness.handle(RunsEvent::HeartbeatStored(stored));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 3)));
    expect_that!(harness.stored.len(), eq(2));
    let mut draining = heartbeat("t-1", 1, 4);
    draining.is_draining = true;
    harness.handle(RunsEvent::Heartbeat(draining));
    expect_that!(harness.stored.len(), eq(3));
}

#[googletest::test]
fn a_restarted_agent_announces_the_target_that_its_predecessor_knew() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::HeartbeatRecalled(heartbeat("t-1", 1, 9)));
    expect_that!(harness.announcement_count, eq(0));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn a_heartbeat_that_is_recalled_after_the_takeover_is_used_at_once() {
    let mut harness = Harness::new();
    harness.answer_poll_with(&[], &[]);
    harness.handle(RunsEvent::HeartbeatRecalled(heartbeat("t-1", 1, 9)));
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn a_recalled_heartbeat_of_another_incarnation_of_the_target_is_not_used() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::HeartbeatRecalled(heartbeat("t-0", 0, 9)));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(0));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn a_target_that_was_draining_is_not_announced_from_a_recalled_heartbeat() {
    let mut harness = Harness::new();
    let mut draining = heartbeat("t-1", 1, 9);
    draining.is_draining = true;
    harness.handle(RunsEvent::HeartbeatRecalled(draining));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(0));
}

#[googletest::test]
fn polls_that_are_refused_at_the_same_time_do_not_confirm_each_other() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.start("t", "b");
    harness.answer_start(unanswered());
    let in_flight = harness.polls.split_off(harness.polls.len() - 2);
    for poll in in_flight {
        let outcome = PollOutcome::NotListening;
        harness.handle(RunsEvent::PollCompleted { poll, outcome });
    }
    expect_that!(harness.ended.len(), eq(0));
}

#[googletest::test]
fn a_restarted_target_gets_no_start_before_it_has_sent_its_time() {
    let mut harness = Harness::with_ready_target();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.goodbye_count, eq(1));
    harness.start("s", "a");
    expect_that!(harness.starts.len(), eq(0));
    expect_true!(matches!(harness.ended[0].1, RunEnd::NotStarted(_)));
    harness.answer_poll_of_incarnation(2);
    expect_that!(harness.announcement_count, eq(2));
    harness.start("s", "a");
    let now_ms = harness.now.as_micros() / 1_000;
    expect_that!(harness.starts[0].lease_until, gt(TargetTime(now_ms)));
}

#[googletest::test]
fn a_restarted_target_is_announced_again_only_with_what_its_new_incarnation_offers() {
    let mut harness = Harness::with_ready_target();
    harness.answer_poll_of_incarnation(2);
    expect_that!(
        (harness.announcement_count, harness.goodbye_count),
        eq((1, 1))
    );
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    harness.answer_poll_of_incarnation(2);
    expect_that!(harness.announcement_count, eq(2));
}

#[googletest::test]
fn a_takeover_needs_a_higher_token_than_the_one_that_was_first_accepted_after_a_refusal() {
    let mut harness = Harness::new();
    harness.answer_poll(PollOutcome::Fenced);
    let accepted = harness.last_poll();
    expect_that!(accepted.token, gt(FencingToken(FIRST_TOKEN)));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.runs.is_taken_over(), eq(false));
    expect_that!(harness.last_poll().token, gt(accepted.token));
    // A late start of the earlier incarnation of the agent was executed in between.
    harness.answer_poll_with(&[("x", 1)], &[]);
    expect_that!(harness.runs.is_taken_over(), eq(false));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.runs.is_taken_over(), eq(true));
}
