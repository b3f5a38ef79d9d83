//! Heartbeats that another program has sent.

use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::TargetTime;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::heartbeat;
use super::bench::is_done;
use super::bench::is_interrupted;
use super::bench::refused;

/// A harness with a run that the target has listed.
fn with_listed_run() -> Harness {
    let mut harness = Harness::with_ready_target();
    harness.start("s", "a");
    harness.accept_start();
    harness.advance(10);
    harness.answer_poll_with(&[("a", 1)], &[]);
    harness
}

fn foreign_heartbeats() -> [Heartbeat; 3] {
    [
        heartbeat("t-1", 9, 1),
        heartbeat("t-9", 9, 1),
        heartbeat("t-9", 1, 90),
    ]
}

/// One report under another id or with a later start time was taken for a restart: all runs of the target started
/// again elsewhere while it went on with them.
#[googletest::test]
fn a_heartbeat_that_the_target_does_not_confirm_ends_no_runs() {
    for foreign in foreign_heartbeats() {
        let mut harness = with_listed_run();
        harness.advance(10);
        harness.handle(RunsEvent::Heartbeat(foreign));
        expect_that!(harness.ended, is_empty());
        harness.answer_poll_with(&[("a", 1)], &[]);
        expect_that!(harness.ended, is_empty());
        expect_that!(harness.stops, is_empty());
        expect_that!(harness.rejected_heartbeats, eq(1));
        expect_that!(harness.announcement_count, eq(2));
    }
}

#[googletest::test]
fn nothing_starts_until_the_target_has_confirmed_or_contradicted_a_heartbeat() {
    for foreign in foreign_heartbeats() {
        let mut harness = with_listed_run();
        harness.advance(10);
        harness.handle(RunsEvent::Heartbeat(foreign));
        harness.start("t", "b");
        expect_that!(harness.starts.len(), eq(1));
        harness.answer_poll_with(&[("a", 1)], &[]);
        harness.start("u", "c");
        expect_that!(harness.starts.len(), eq(2));
        expect_that!(harness.starts[1].target, some(eq(&"t-1".parse().unwrap())));
    }
}

/// The target may have restarted after it had answered the earlier poll.
#[googletest::test]
fn an_answer_to_an_earlier_poll_does_not_reject_a_heartbeat() {
    let mut harness = with_listed_run();
    let earlier_poll = harness.last_poll();
    harness.advance(10);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 9, 1)));
    harness.answer_poll_from(1, earlier_poll, &[("a", 1)], &[]);
    expect_that!(harness.rejected_heartbeats, eq(0));
    harness.answer_poll_from(9, harness.last_poll(), &[], &[]);
    expect_that!(harness.ended.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
    expect_that!(harness.announcement_count, eq(2));
}

#[googletest::test]
fn the_first_heartbeat_names_the_target_only_once_it_answers_under_that_id() {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-9", 9, 1)));
    harness.answer_poll(PollOutcome::WrongIncarnation);
    expect_that!(harness.rejected_heartbeats, eq(1));
    harness.advance(300);
    expect_that!(harness.last_poll().target, none());
    harness.answer_poll_with(&[], &[]);
    expect_that!(harness.announcement_count, eq(0));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
    expect_that!(harness.announcement_count, eq(1));
}

#[googletest::test]
fn a_target_that_restarts_under_another_id_is_announced_once_it_answers() {
    let mut harness = with_listed_run();
    harness.advance(10);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-2", 2, 1)));
    harness.answer_poll(PollOutcome::WrongIncarnation);
    expect_that!(harness.ended, is_empty());
    expect_that!(
        harness.last_poll().target,
        some(eq(&"t-2".parse().unwrap()))
    );
    harness.answer_poll_of_incarnation(2);
    expect_that!(harness.ended.len(), eq(1));
    expect_that!(harness.announcement_count, eq(2));
    expect_that!(harness.rejected_heartbeats, eq(0));
}

/// A heartbeat with the id and start time of the target, but with too high a number, hid all that the target sent.
#[googletest::test]
fn a_heartbeat_with_too_high_a_number_hides_the_targets_own_only_for_a_while() {
    let mut harness = Harness::with_ready_target();
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, u64::MAX)));
    for sequence in 2..6 {
        harness.advance(1_500);
        harness.answer_poll_with(&[], &[]);
        harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, sequence)));
    }
    let announcements = harness.announcement_count;
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 6)));
    expect_that!(harness.announcement_count, eq(announcements + 1));
}

#[googletest::test]
fn a_late_heartbeat_does_not_bring_a_leaving_target_back() {
    let mut harness = Harness::with_ready_target();
    let mut draining = heartbeat("t-1", 1, 9);
    draining.is_draining = true;
    harness.handle(RunsEvent::Heartbeat(draining));
    harness.advance(10_000);
    let announcements = harness.announcement_count;
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 8)));
    expect_that!(harness.announcement_count, eq(announcements));
}

#[googletest::test]
fn numbers_at_the_limits_of_their_types_are_handled() {
    let mut harness = with_listed_run();
    let end = (u64::MAX, "x", u32::MAX, RunOutcome::Done);
    let mut snapshot = harness.snapshot(&[("a", 1), ("y", u32::MAX)], &[end]);
    snapshot.clock = TargetTime(u64::MAX);
    harness.answer_poll(PollOutcome::Runs(snapshot));
    harness.start("t", "b");
    harness.answer_start(refused(Refusal::StaleRun));
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", u64::MAX, u64::MAX)));
    harness.advance(u64::MAX / 2_000);
    expect_that!(harness.ended, not(is_empty()));
}

#[googletest::test]
fn a_refused_id_ends_no_run_that_the_target_still_lists() {
    let mut harness = with_listed_run();
    harness.advance(10);
    harness.answer_poll(PollOutcome::WrongIncarnation);
    expect_that!(harness.ended, is_empty());
    harness.advance(60);
    harness.answer_poll_with(&[("a", 1)], &[]);
    expect_that!(harness.ended, is_empty());
    harness.advance(10);
    harness.answer_poll_with(&[], &[(1, "a", 1, RunOutcome::Done)]);
    expect_true!(is_done(&harness.ended[0].1));
}

#[googletest::test]
fn a_refused_id_accuses_no_task_before_another_incarnation_has_listed_its_runs() {
    for (incarnation, crashes) in [(1, 0), (2, 1)] {
        let mut harness = with_listed_run();
        harness.advance(10);
        harness.answer_poll(PollOutcome::WrongIncarnation);
        expect_that!(harness.crashes, is_empty());
        harness.advance(60);
        harness.answer_poll_of_incarnation(incarnation);
        expect_that!(harness.crashes.len(), eq(crashes));
        expect_that!(harness.ends_before_crash, each(eq(&0)));
    }
}
