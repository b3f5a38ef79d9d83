//! Labels that the target must have when a task starts.

use dfs_policy::agent::RunEnd;
use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RunsEvent;
use dfs_wire::session::NotRunReason;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::heartbeat;
use super::bench::is_interrupted;
use super::bench::refused;
use super::bench::spec;
use super::bench::task;

fn labelled(target: &str, incarnation: u64, label: &str) -> Heartbeat {
    let mut heartbeat = heartbeat(target, incarnation, 1);
    heartbeat.offer.labels = vec![label.parse().unwrap()];
    heartbeat
}

/// A harness whose target has the label "a".
fn with_label_a() -> Harness {
    let mut harness = Harness::new();
    harness.handle(RunsEvent::Heartbeat(labelled("t-1", 1, "a")));
    harness.answer_poll_with(&[], &[]);
    harness.advance(10);
    harness
}

fn start_with_label(harness: &mut Harness, submission: &str, name: &str) {
    harness.handle(RunsEvent::StartTask {
        task: task(submission),
        spec: spec(name),
        label: Some("a".parse().unwrap()),
    });
}

fn expect_handed_back(harness: &Harness) {
    let (_, end) = harness.ended.last().unwrap();
    let is_handed_back = matches!(end, RunEnd::NotStarted(NotRunReason::Leaving));
    expect_true!(is_handed_back);
}

/// The agent decided on the start before it heard that the target has returned as another kind.
#[googletest::test]
fn a_task_does_not_start_once_its_target_has_returned_without_its_label() {
    for target in ["t-1", "t-2"] {
        let mut harness = with_label_a();
        start_with_label(&mut harness, "s", "a");
        expect_that!(harness.starts.len(), eq(1));
        harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
        harness.handle(RunsEvent::Heartbeat(labelled(target, 2, "b")));
        start_with_label(&mut harness, "t", "b");
        expect_that!(harness.starts.len(), eq(1));
        expect_handed_back(&harness);
    }
}

/// An answer has shown the restart, but no heartbeat the labels of the new incarnation.
#[googletest::test]
fn a_task_with_a_label_does_not_start_while_the_labels_of_its_target_are_unknown() {
    let mut harness = with_label_a();
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    start_with_label(&mut harness, "s", "a");
    expect_that!(harness.starts, is_empty());
    expect_handed_back(&harness);
}

#[googletest::test]
fn a_start_is_not_repeated_on_a_target_that_has_returned_without_its_label() {
    let mut harness = with_label_a();
    start_with_label(&mut harness, "s", "a");
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.handle(RunsEvent::Heartbeat(labelled("t-1", 2, "b")));
    harness.answer_start(refused(Refusal::Fenced));
    expect_that!(harness.starts.len(), eq(1));
    expect_handed_back(&harness);
}

#[googletest::test]
fn a_task_that_waits_for_an_earlier_run_does_not_start_without_its_label() {
    let mut harness = with_label_a();
    start_with_label(&mut harness, "s", "a");
    harness.accept_start();
    for _ in 0..2 {
        harness.advance(10);
        harness.answer_poll_with(&[("a", 1)], &[]);
    }
    start_with_label(&mut harness, "t", "a");
    harness.advance(10);
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    expect_that!(harness.starts.len(), eq(1));
    expect_true!(is_interrupted(&harness.ended[0].1));
    expect_handed_back(&harness);
}
