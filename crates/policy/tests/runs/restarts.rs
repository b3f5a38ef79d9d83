//! A target that restarts under the id that it had.

use dfs_ids::Millis;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::MAX_LEASE_MS;
use super::bench::heartbeat;
use super::bench::is_done;
use super::bench::is_interrupted;
use super::bench::refused;
use super::bench::unanswered;

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
    let late_end = (1, "a", 1, RunOutcome::Failed);
    harness.answer_poll_from(1, late_poll.clone(), &[], std::slice::from_ref(&late_end));
    expect_that!(harness.announcement_count, eq(1));
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
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

#[googletest::test]
fn a_start_that_is_in_flight_when_its_target_restarts_may_run_on_the_new_incarnation() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.answer_poll_from(
        2,
        harness.last_poll(),
        &[],
        &[(1, "a", 1, RunOutcome::Done)],
    );
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn a_start_that_no_incarnation_lists_may_have_run_on_the_one_before() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    let poll_before = harness.last_poll();
    harness.answer_poll_from(2, poll_before.clone(), &[], &[]);
    expect_that!(harness.ended, is_empty());
    expect_that!(harness.last_poll().token, gt(poll_before.token));
    harness.answer_start(unanswered());
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
}

#[googletest::test]
fn an_unanswered_start_may_run_on_the_new_incarnation() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    harness.answer_start(unanswered());
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn a_run_that_an_unnoticed_incarnation_has_accepted_continues() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn a_run_that_the_previous_incarnation_has_listed_ends_with_it() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_from(1, harness.last_poll(), &[("a", 1)], &[]);
    harness.advance(10);
    harness.answer_poll_from(1, harness.last_poll(), &[("a", 1)], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
}

#[googletest::test]
fn ends_of_a_target_that_may_have_restarted_are_not_acknowledged() {
    for failure in [
        PollOutcome::NotListening,
        PollOutcome::Failed {
            message: "connection lost".to_owned(),
        },
    ] {
        let mut harness = Harness::with_ready_target();
        let end = || (1, "x", 1, RunOutcome::Done);
        harness.answer_poll_with(&[], &[end()]);
        expect_that!(harness.last_poll().last_acked_end, eq(1));
        harness.answer_poll(failure);
        harness.advance(50);
        expect_that!(harness.last_poll().last_acked_end, eq(0));
        harness.answer_poll_with(&[], &[end()]);
        expect_that!(harness.last_poll().last_acked_end, eq(1));
    }
}

#[googletest::test]
fn a_start_without_an_answer_stops_acknowledgements_until_a_later_poll_is_answered() {
    for outcome in [unanswered(), refused(Refusal::NotListening)] {
        let mut harness = Harness::with_ready_target();
        harness.answer_poll_with(&[], &[(7, "x", 1, RunOutcome::Done)]);
        let poll_before = harness.last_poll();
        harness.advance(10);
        harness.start("s", "a");
        harness.answer_start(outcome);
        harness.answer_poll_from(1, poll_before, &[], &[]);
        harness.advance(300);
        expect_that!(harness.last_poll().last_acked_end, eq(0));
        harness.answer_poll_with(&[], &[(7, "x", 1, RunOutcome::Done)]);
        harness.advance(300);
        expect_that!(harness.last_poll().last_acked_end, eq(7));
    }
}

#[googletest::test]
fn an_end_that_is_listed_again_does_not_end_a_later_run() {
    let mut harness = Harness::with_ready_target();
    let first_end = || (1, "a", 1, RunOutcome::Failed);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_with(&[], &[first_end()]);
    harness.start("t", "a");
    harness.accept_start();
    harness.answer_poll(PollOutcome::NotListening);
    harness.advance(50);
    harness.answer_poll_with(&[("a", 2)], &[first_end()]);
    expect_that!(harness.ended.len(), eq(1));
    harness.answer_poll_with(&[], &[first_end(), (2, "a", 2, RunOutcome::Done)]);
    expect_that!(harness.ended.len(), eq(2));
    expect_true!(is_done(&harness.ended[1].1));
}

#[googletest::test]
fn an_end_of_a_new_incarnation_counts_though_its_number_was_used_before() {
    let mut harness = Harness::with_ready_target();
    harness.answer_poll_with(&[], &[(1, "x", 1, RunOutcome::Done)]);
    harness.advance(10);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll(PollOutcome::NotListening);
    harness.advance(50);
    let end = (1, "a", 1, RunOutcome::Done);
    harness.answer_poll_from(2, harness.last_poll(), &[], &[end]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn an_answer_to_a_poll_for_an_earlier_id_does_not_end_the_runs_of_the_present_one() {
    let mut harness = Harness::with_ready_target();
    let late_poll = harness.last_poll();
    harness.advance(300);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-2", 2, 1)));
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.advance(10);
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    let goodbyes_before = harness.goodbye_count;
    let outcome = PollOutcome::WrongIncarnation;
    let poll = late_poll;
    harness.handle(RunsEvent::PollCompleted { poll, outcome });
    expect_that!(harness.ended, is_empty());
    expect_that!(harness.goodbye_count, eq(goodbyes_before));
}

#[googletest::test]
fn a_start_refused_for_an_earlier_id_ends_alone() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    let late_start = harness.starts[0].clone();
    let target = "t-1".parse().unwrap();
    harness.handle(RunsEvent::Deregistered { target });
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-2", 2, 1)));
    let goodbyes = harness.goodbye_count;
    harness.handle(RunsEvent::StartCompleted {
        request: late_start,
        outcome: refused(Refusal::WrongIncarnation),
    });
    expect_that!(harness.ended.len(), eq(1));
    expect_that!(harness.goodbye_count, eq(goodbyes));
}

#[googletest::test]
fn an_incarnation_whose_clock_was_set_back_is_announced_again() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 5, 9)));
    harness.answer_poll_from(5, harness.last_poll(), &[], &[]);
    harness.advance(10);
    harness.answer_poll_from(3, harness.last_poll(), &[], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 3, 1)));
    expect_that!(harness.announcement_count, eq(2));
}

#[googletest::test]
fn a_late_heartbeat_of_an_incarnation_with_a_later_start_time_ends_no_runs() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 5, 9)));
    harness.answer_poll_from(5, harness.last_poll(), &[], &[]);
    harness.advance(10);
    harness.answer_poll_from(3, harness.last_poll(), &[], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 3, 1)));
    harness.start("s", "a");
    harness.accept_start();
    harness.advance(10);
    harness.answer_poll_from(3, harness.last_poll(), &[("a", 1)], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 5, 10)));
    harness.advance(300);
    harness.answer_poll_from(3, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn runs_kept_over_a_restart_end_only_after_the_longest_lease() {
    let mut harness = Harness::with_ready_target();
    harness.advance(2 * MAX_LEASE_MS);
    harness.start("s", "a");
    let lease_sent_at = harness.now;
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.fail_poll();
    while harness.now < lease_sent_at + Millis::new(MAX_LEASE_MS) {
        let polls = harness.polls.len();
        expect_that!(harness.ended, is_empty());
        harness.advance(10);
        if harness.polls.len() > polls {
            harness.fail_poll();
        }
    }
    harness.advance(MAX_LEASE_MS);
    expect_that!(harness.ended.len(), eq(1));
}

#[googletest::test]
fn a_start_in_flight_over_two_restarts_may_run_on_the_last_incarnation() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    let poll = harness.last_poll();
    harness.advance(1);
    harness.accept_start();
    harness.answer_poll_from(2, poll, &[], &[]);
    expect_that!(harness.ended, is_empty());
    harness.advance(10);
    harness.answer_poll_from(3, harness.last_poll(), &[("a", 1)], &[]);
    harness.answer_poll_from(3, harness.last_poll(), &[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
}

#[googletest::test]
fn a_heartbeat_without_incarnation_ends_no_runs_of_a_target_that_names_it() {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    let mut foreign = heartbeat("t-1", 1, 7);
    foreign.incarnation = None;
    harness.handle(RunsEvent::Heartbeat(foreign));
    expect_that!(harness.ended, is_empty());
    expect_that!(harness.goodbye_count, eq(0));
}

#[googletest::test]
fn a_start_in_flight_is_fenced_once_its_target_has_exited() {
    let mut harness = Harness::with_ready_target();
    harness.advance(10);
    harness.start("s", "a");
    let start_token = harness.starts[0].token;
    harness.answer_poll(PollOutcome::NotListening);
    harness.advance(60);
    harness.answer_poll(PollOutcome::NotListening);
    harness.advance(60);
    expect_that!(harness.last_poll().token, gt(start_token));
}

#[googletest::test]
fn polls_that_another_incarnation_answers_are_not_repeated_without_delay() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.answer_poll(PollOutcome::WrongIncarnation);
        harness.advance(1);
    }
    expect_that!(harness.polls.len(), le(2));
}

#[googletest::test]
fn ends_are_acknowledged_while_a_target_refuses_starts_as_unhealthy() {
    let mut harness = Harness::with_ready_target();
    harness.answer_poll_with(&[], &[(1, "x", 1, RunOutcome::Done)]);
    harness.advance(10);
    harness.start("s", "a");
    harness.answer_start(refused(Refusal::Unhealthy));
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.last_poll().last_acked_end, eq(1));
}
