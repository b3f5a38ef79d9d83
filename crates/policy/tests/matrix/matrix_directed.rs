//! Hand-written schedules, each for a guarantee that the checks of the other cases cover only in part.

use dfs_ids::Millis;
use dfs_ids::SessionNumber;
use dfs_policy::agent::AgentEvent;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;
use dfs_wire::session::NotRun;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::TaskRef;
use googletest::prelude::*;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::link::Delivery;
use crate::link::Direction;
use crate::node;
use crate::node::Caller;
use crate::world::Simulation;

const SECOND_US: u64 = 1_000_000;

/// One entry and one agent with an open session.
fn pair() -> Simulation {
    let mut sim = Simulation::new(1, 1);
    sim.run_for(SECOND_US);
    sim
}

/// One entry and one agent with an open session, where the agent runs one task and has queued another.
fn busy_pair() -> Simulation {
    let mut sim = pair();
    sim.submit(0, Caller::new(0, "runs", 1, false));
    sim.submit(0, Caller::new(0, "waits", 1, false));
    let is_run_end = |delivery: &Delivery| matches!(delivery, Delivery::RunEnded { .. });
    while sim.starts.is_empty() || !sim.in_flight.values().all(is_run_end) {
        sim.step();
    }
    sim
}

fn failure(sim: &Simulation, caller: usize) -> &Failure {
    let (_, answer) = sim.callers[caller]
        .answers
        .first()
        .expect("the caller has an answer");
    answer.failure.as_ref().expect("the answer is a failure")
}

fn inject(sim: &mut Simulation, kind: Kind, caller: usize) {
    sim.inject(Fault {
        kind,
        entry: 0,
        agent: 0,
        caller,
    });
}

/// Runs until a message from an entry to its agent is in flight.
fn run_until_sent(sim: &mut Simulation) {
    while !sim
        .in_flight
        .values()
        .any(|i| matches!(i, Delivery::Message(..)))
    {
        sim.step();
    }
}

/// Removes all messages to agents from the link and returns the tasks placed by them.
fn intercept(sim: &mut Simulation) -> Vec<TaskRef> {
    let messages = sim
        .in_flight
        .extract_if(.., |_, delivery| matches!(delivery, Delivery::Message(..)));
    let messages: Vec<_> = messages.map(|(_, delivery)| delivery).collect();
    let mut tasks = Vec::new();
    for message in messages {
        let Delivery::Message(_, message) = message else {
            continue;
        };
        for item in message.items {
            let EntryItem::Place(placement) = item else {
                continue;
            };
            tasks.extend(placement.tasks.iter().map(|task| TaskRef {
                submission: placement.submission.clone(),
                task: task.task,
                attempt: task.attempt,
            }));
        }
    }
    tasks
}

#[googletest::test]
fn a_task_that_expired_in_the_queue_did_not_run() {
    let mut sim = pair();
    sim.submit(0, Caller::new(0, "late", 1, false));
    run_until_sent(&mut sim);
    let (connection, _) = sim.connections.first_key_value().unwrap();
    let (connection, session) = (*connection, SessionNumber::new(1));
    let reason = NotRunReason::Expired;
    let not_run = intercept(&mut sim).into_iter();
    let not_run = not_run.map(|task| NotRun { task, reason }).collect();
    let report = Report {
        session,
        seq: 1_000,
        items: vec![AgentItem::NotRun(not_run)],
    };
    sim.push(Delivery::Report(connection, report));
    sim.run_for(SECOND_US);
    let failure = failure(&sim, 0);
    expect_that!(failure.reason, eq(FailureReason::DeadlineExceeded));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.may_have_run, is_empty());
}

#[googletest::test]
fn a_task_refused_on_every_attempt_did_not_run() {
    let mut sim = pair();
    sim.targets[0].is_up = false;
    sim.submit(0, Caller::new(0, "refused", 1, false));
    sim.run_for(SECOND_US);
    let failure = failure(&sim, 0);
    expect_that!(failure.reason, eq(FailureReason::RetriesExhausted));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.may_have_run, is_empty());
}

#[googletest::test]
fn a_cancelled_task_does_not_start_in_the_next_session() {
    let mut sim = busy_pair();
    inject(&mut sim, Kind::Cancel, 1);
    sim.step();
    inject(&mut sim, Kind::Reset, 1);
    sim.run_for(5 * SECOND_US);
    let cancelled = sim.callers[1].submission.as_ref();
    let started = sim
        .starts
        .iter()
        .filter(|s| Some(&s.submission) == cancelled);
    expect_that!(started.count(), eq(0));
    expect_that!(failure(&sim, 1).reason, eq(FailureReason::Cancelled));
    expect_that!(crate::judge::check_idle(&sim), eq(&Ok(())));
}

#[googletest::test]
fn a_session_lost_before_it_opened_does_not_affect_later_ones() {
    let mut sim = Simulation::new(1, 1);
    run_until_sent(&mut sim);
    inject(&mut sim, Kind::ResetToAgent, 0);
    sim.run_for(SECOND_US);
    sim.submit(0, Caller::new(0, "placed twice", 1, false));
    run_until_sent(&mut sim);
    inject(&mut sim, Kind::ResetToAgent, 0);
    sim.run_for(5 * SECOND_US);
    let (_, answer) = &sim.callers[0].answers[0];
    expect_that!(answer.outcome, eq(Outcome::Complete));
}

#[googletest::test]
fn a_task_is_not_placed_repeatedly_on_a_target_that_left() {
    let mut sim = pair();
    while sim.step() {}
    inject(&mut sim, Kind::Goodbye, 0);
    inject(&mut sim, Kind::Delayed, 0);
    sim.submit(0, Caller::new(0, "placed once", 1, false));
    sim.run_for(5 * SECOND_US);
    let (_, answer) = &sim.callers[0].answers[0];
    expect_that!(answer.outcome, eq(Outcome::Complete));
    expect_that!(sim.has_livelock, eq(false));
}

#[googletest::test]
fn a_task_whose_lease_expired_does_not_start_when_a_slot_becomes_free() {
    let mut sim = busy_pair();
    let (_, end) = sim.in_flight.pop_first().unwrap();
    sim.partitions.insert((0, 0, Direction::ToAgent));
    sim.run_for(4 * SECOND_US);
    sim.push(end);
    sim.run_for(SECOND_US / 2);
    expect_that!(sim.starts.len(), eq(1));
}

#[googletest::test]
fn a_duplicated_held_list_gets_the_same_reply() {
    let mut sim = busy_pair();
    inject(&mut sim, Kind::Cancel, 1);
    sim.step();
    inject(&mut sim, Kind::Reset, 1);
    let is_held_list =
        |delivery: &Delivery| matches!(delivery, Delivery::Report(_, report) if report.seq == 0);
    while !sim.in_flight.values().any(is_held_list) {
        sim.step();
    }
    let held_list = sim
        .in_flight
        .values()
        .find(|delivery| is_held_list(delivery))
        .cloned();
    sim.push(held_list.unwrap());
    let replies = |sim: &Simulation| {
        let replies = sim.in_flight.iter();
        let replies = replies.filter(|(_, delivery)| matches!(delivery, Delivery::Reply(..)));
        replies.map(|(key, _)| *key).collect::<Vec<_>>()
    };
    while replies(&sim).is_empty() {
        sim.step();
    }
    sim.in_flight.remove(&replies(&sim)[0]);
    sim.run_for(5 * SECOND_US);
    let cancelled = sim.callers[1].submission.as_ref();
    let started = sim
        .starts
        .iter()
        .filter(|s| Some(&s.submission) == cancelled);
    expect_that!(started.count(), eq(0));
}

#[googletest::test]
fn a_buffered_placement_does_not_start_on_a_target_that_became_silent() {
    let mut sim = pair();
    let mut heartbeat = node::announcement(0);
    heartbeat.lease_ms = Millis::new(1_000);
    sim.handle_at_agent(0, AgentEvent::TargetAnnounced(heartbeat), true);
    sim.submit(0, Caller::new(0, "waits", 1, false));
    run_until_sent(&mut sim);
    sim.now_us += 3 * SECOND_US / 2;
    while sim.next_key().is_some() {
        sim.step();
    }
    expect_that!(sim.starts, is_empty());
}
