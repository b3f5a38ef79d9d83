//! Single cases.

use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::TargetTime;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use googletest::prelude::*;

use super::bench::Bench;
use super::bench::FIRST_TOKEN;
use super::bench::MAX_LEASE_MS;
use super::bench::RUN_LEASE_MS;
use super::bench::STOP_MS;
use super::bench::heartbeat;
use super::bench::task;

fn unanswered() -> RequestOutcome {
    RequestOutcome::Unknown {
        message: "no answer".to_owned(),
    }
}

fn refused(refusal: Refusal) -> RequestOutcome {
    RequestOutcome::Refused {
        refusal,
        clock: None,
    }
}

fn is_done(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Started(TaskOutcome::Done(_)))
}

fn is_interrupted(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Started(TaskOutcome::Unknown(_)))
}

#[googletest::test]
fn a_run_is_reported_when_its_end_is_seen_and_the_end_is_acknowledged_by_the_next_look() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.accept_start();
    bench.see(&[("a", 1)], &[]);
    expect_that!(bench.ended.len(), eq(0));
    bench.see(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_that!(bench.ended.len(), eq(1));
    expect_true!(is_done(&bench.ended[0].1));
    expect_that!(bench.polls.last().unwrap().last_acked_end, eq(1));
}

#[googletest::test]
fn a_start_without_an_answer_never_happens_once_a_look_with_a_higher_token_does_not_show_it() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.answer_start(unanswered());
    // The look under way carries the old token and settles nothing.
    expect_that!(
        bench.polls.last().unwrap().token,
        eq(FencingToken(FIRST_TOKEN))
    );
    bench.see(&[], &[]);
    expect_that!(bench.ended.len(), eq(0));
    expect_that!(
        bench.polls.last().unwrap().token,
        gt(FencingToken(FIRST_TOKEN))
    );
    bench.see(&[], &[]);
    expect_that!(bench.ended.len(), eq(1));
    expect_true!(matches!(bench.ended[0].1, RunEnd::NotStarted(_)));
}

#[googletest::test]
fn a_start_without_an_answer_that_a_look_shows_goes_on() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.answer_start(unanswered());
    bench.see(&[("a", 1)], &[]);
    bench.see(&[("a", 1)], &[]);
    expect_that!(bench.ended.len(), eq(0));
    bench.see(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_true!(is_done(&bench.ended[0].1));
}

#[googletest::test]
fn runs_of_a_target_that_cannot_be_reached_end_after_their_lease_and_not_before() {
    let mut bench = Bench::commanded();
    // The leases of an earlier life of the agent are over.
    bench.after(2 * MAX_LEASE_MS);
    bench.start("s", "a");
    bench.accept_start();
    bench.see(&[("a", 1)], &[]);
    let renewed_at = bench.now;
    bench.fail_poll();
    let drift_ms = RUN_LEASE_MS * 2 / 100;
    let mut failed = bench.polls.len();
    while bench.now < renewed_at + dfs_ids::Millis::new(RUN_LEASE_MS + drift_ms + STOP_MS - 10) {
        bench.after(10);
        if bench.polls.len() > failed {
            failed = bench.polls.len();
            bench.fail_poll();
        }
        expect_that!(bench.ended.len(), eq(0));
    }
    bench.after(100);
    expect_that!(bench.ended.len(), eq(1));
    expect_true!(is_interrupted(&bench.ended[0].1));
}

#[googletest::test]
fn a_target_that_does_not_answer_gets_no_new_work_until_it_answers_again() {
    let mut bench = Bench::commanded();
    expect_that!(bench.announced, eq(1));
    for _ in 0..20 {
        bench.fail_poll();
        bench.after(50);
    }
    expect_that!(bench.goodbyes, eq(1));
    bench.see(&[], &[]);
    expect_that!(bench.announced, eq(2));
}

#[googletest::test]
fn one_lost_answer_does_not_make_a_target_unreachable() {
    let mut bench = Bench::commanded();
    bench.fail_poll();
    bench.after(60);
    bench.see(&[], &[]);
    expect_that!(bench.goodbyes, eq(0));
}

#[googletest::test]
fn runs_of_an_earlier_life_of_the_agent_are_stopped_before_the_target_is_used() {
    let mut bench = Bench::new();
    bench.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    bench.see(&[("old", 3)], &[]);
    expect_that!(bench.runs.is_taken_over(), eq(false));
    expect_that!(bench.announced, eq(0));
    expect_that!(bench.stops.len(), eq(1));
    expect_that!(bench.stops[0].run, eq(RunNumber(3)));
    bench.see(&[], &[]);
    expect_that!(bench.runs.is_taken_over(), eq(true));
    expect_that!(bench.announced, eq(1));
}

#[googletest::test]
fn an_agent_whose_target_never_answers_takes_over_after_the_longest_lease() {
    let mut bench = Bench::new();
    bench.after(MAX_LEASE_MS);
    expect_that!(bench.runs.is_taken_over(), eq(false));
    bench.after(MAX_LEASE_MS * 2 / 100 + STOP_MS + 10);
    expect_that!(bench.runs.is_taken_over(), eq(true));
}

#[googletest::test]
fn a_token_that_is_too_low_climbs_until_it_is_taken() {
    let mut bench = Bench::new();
    let highest = FIRST_TOKEN + 1_000_000;
    let mut polls = 0;
    while bench.polls.last().unwrap().token.0 <= highest {
        bench.answer_poll(PollOutcome::Fenced);
        polls += 1;
    }
    expect_that!(polls, le(25));
}

#[googletest::test]
fn another_attempt_of_a_task_starts_after_the_end_of_the_one_before_under_a_higher_number() {
    let mut bench = Bench::commanded();
    bench.start("first", "a");
    bench.accept_start();
    bench.start("second", "a");
    expect_that!(bench.starts.len(), eq(1));
    expect_that!(bench.stops.len(), eq(1));
    bench.see(
        &[],
        &[(1, "a", 1, RunOutcome::Interrupted("stopped".to_owned()))],
    );
    expect_that!(bench.starts.len(), eq(2));
    expect_that!(bench.starts[1].run, eq(RunNumber(2)));
    expect_that!(bench.ended[0].0, eq(&task("first")));
}

#[googletest::test]
fn a_stop_waits_for_the_answer_to_its_start() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.handle(RunsEvent::StopTask { task: task("s") });
    expect_that!(bench.stops.len(), eq(0));
    bench.accept_start();
    expect_that!(bench.stops.len(), eq(1));
}

#[googletest::test]
fn a_stop_that_was_lost_is_sent_again_while_the_run_is_seen() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.accept_start();
    bench.handle(RunsEvent::StopTask { task: task("s") });
    bench.after(200);
    bench.see(&[("a", 1)], &[]);
    expect_that!(bench.stops.len(), eq(2));
}

#[googletest::test]
fn a_target_without_room_hands_the_task_back() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.answer_start(refused(Refusal::NoCapacity));
    let busy = matches!(bench.ended[0].1, RunEnd::NotStarted(NotRunReason::Busy));
    expect_true!(busy);
}

#[googletest::test]
fn an_old_run_number_is_followed_by_a_higher_one() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.answer_start(refused(Refusal::StaleRun));
    expect_that!(bench.starts.len(), eq(2));
    expect_that!(bench.starts[1].run, eq(RunNumber(2)));
}

#[googletest::test]
fn a_new_life_of_the_target_ends_the_runs_of_the_one_before() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.accept_start();
    bench.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(bench.ended.len(), eq(1));
    expect_true!(is_interrupted(&bench.ended[0].1));
}

#[googletest::test]
fn an_older_heartbeat_changes_nothing() {
    let mut bench = Bench::commanded();
    bench.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 7)));
    bench.start("s", "a");
    bench.accept_start();
    bench.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 6)));
    bench.handle(RunsEvent::Heartbeat(heartbeat("t-0", 1, 90)));
    expect_that!(bench.ended.len(), eq(0));
}

#[googletest::test]
fn a_leaving_target_gets_no_new_work_and_its_runs_go_on() {
    let mut bench = Bench::commanded();
    bench.start("s", "a");
    bench.accept_start();
    let mut leaving = heartbeat("t-1", 1, 2);
    leaving.is_leaving = true;
    bench.handle(RunsEvent::Heartbeat(leaving));
    expect_that!(bench.goodbyes, eq(1));
    expect_that!(bench.ended.len(), eq(0));
    bench.see(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_true!(is_done(&bench.ended[0].1));
}

#[googletest::test]
fn a_lease_ends_by_the_clock_of_the_target() {
    let mut bench = Bench::commanded();
    let told_ms = bench.now.as_micros() / 1_000;
    bench.after(100);
    bench.start("s", "a");
    let until = bench.starts[0].lease_until;
    expect_that!(until, eq(TargetTime(told_ms + 100 + RUN_LEASE_MS)));
}

#[googletest::test]
fn a_look_without_an_answer_is_followed_by_another_one_before_it_times_out() {
    let mut bench = Bench::commanded();
    let sent = bench.polls.len();
    bench.after(200);
    expect_that!(bench.polls.len(), eq(sent));
    bench.after(100);
    expect_that!(bench.polls.len(), eq(sent + 1));
}

#[googletest::test]
fn a_look_that_fails_after_a_later_one_was_answered_says_nothing() {
    let mut bench = Bench::commanded();
    let first = bench.polls.last().unwrap().clone();
    bench.after(300);
    bench.see(&[], &[]);
    let message = "no answer".to_owned();
    let outcome = PollOutcome::Failed { message };
    bench.handle(RunsEvent::PollCompleted {
        poll: first,
        outcome,
    });
    bench.start("s", "a");
    bench.accept_start();
    bench.after(300);
    // A lease is asked for only while looks do not fail.
    expect_that!(bench.polls.last().unwrap().lease_until, some(anything()));
}
