//! Single schedules, each for one promise that the other judges see only in part.

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
use crate::link::Item;
use crate::link::Way;
use crate::node;
use crate::node::Caller;
use crate::world::World;

const SECOND_US: u64 = 1_000_000;

/// One entry and one agent with a session.
fn pair() -> World {
    let mut world = World::new(1, 1);
    world.run_for(SECOND_US);
    world
}

/// The same with one task running and one queued at the agent.
fn busy_pair() -> World {
    let mut world = pair();
    world.submit(0, Caller::new(0, "runs", 1, false));
    world.submit(0, Caller::new(0, "waits", 1, false));
    let is_quiet = |item: &Item| matches!(item, Item::Ended { .. });
    while world.starts.is_empty() || !world.items.values().all(is_quiet) {
        world.step();
    }
    world
}

fn failure(world: &World, caller: usize) -> &Failure {
    let (_, answer) = world.callers[caller].answers.first().expect("an answer");
    answer.failure.as_ref().expect("a failure")
}

fn inject(world: &mut World, kind: Kind, caller: usize) {
    world.inject(Fault {
        kind,
        entry: 0,
        agent: 0,
        caller,
    });
}

/// Runs until an entry has sent something that its agent has not read.
fn run_until_sent(world: &mut World) {
    while !world.items.values().any(|i| matches!(i, Item::Message(..))) {
        world.step();
    }
}

/// Takes the placements off the link and returns their tasks.
fn intercept(world: &mut World) -> Vec<TaskRef> {
    let messages = world
        .items
        .extract_if(.., |_, item| matches!(item, Item::Message(..)));
    let messages: Vec<_> = messages.map(|(_, item)| item).collect();
    let mut tasks = Vec::new();
    for message in messages {
        let Item::Message(_, message) = message else {
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
    let mut world = pair();
    world.submit(0, Caller::new(0, "late", 1, false));
    run_until_sent(&mut world);
    let (connection, _) = world.connections.first_key_value().unwrap();
    let (connection, session) = (*connection, SessionNumber::new(1));
    let reason = NotRunReason::Expired;
    let not_run = intercept(&mut world).into_iter();
    let not_run = not_run.map(|task| NotRun { task, reason }).collect();
    let report = Report {
        session,
        seq: 1_000,
        items: vec![AgentItem::NotRun(not_run)],
    };
    world.push(Item::Report(connection, report));
    world.run_for(SECOND_US);
    let failure = failure(&world, 0);
    expect_that!(failure.reason, eq(FailureReason::DeadlineExceeded));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.may_have_run, is_empty());
}

#[googletest::test]
fn a_request_that_every_attempt_was_refused_for_did_not_run() {
    let mut world = pair();
    world.targets[0].is_up = false;
    world.submit(0, Caller::new(0, "refused", 1, false));
    world.run_for(SECOND_US);
    let failure = failure(&world, 0);
    expect_that!(failure.reason, eq(FailureReason::RetriesExhausted));
    expect_that!(failure.not_run, eq(true));
    expect_that!(failure.may_have_run, is_empty());
}

#[googletest::test]
fn a_cancelled_task_does_not_start_in_the_next_session() {
    let mut world = busy_pair();
    inject(&mut world, Kind::Cancel, 1);
    world.step();
    inject(&mut world, Kind::Reset, 1);
    world.run_for(5 * SECOND_US);
    let cancelled = world.callers[1].submission.as_ref();
    let started = world
        .starts
        .iter()
        .filter(|s| Some(&s.submission) == cancelled);
    expect_that!(started.count(), eq(0));
    expect_that!(failure(&world, 1).reason, eq(FailureReason::Cancelled));
    expect_that!(crate::judge::judge_idle(&world), eq(&Ok(())));
}

#[googletest::test]
fn a_session_lost_before_it_opened_spoils_no_later_one() {
    let mut world = World::new(1, 1);
    run_until_sent(&mut world);
    inject(&mut world, Kind::ResetToAgent, 0);
    world.run_for(SECOND_US);
    world.submit(0, Caller::new(0, "placed twice", 1, false));
    run_until_sent(&mut world);
    inject(&mut world, Kind::ResetToAgent, 0);
    world.run_for(5 * SECOND_US);
    let (_, answer) = &world.callers[0].answers[0];
    expect_that!(answer.outcome, eq(Outcome::Complete));
}

#[googletest::test]
fn a_task_is_not_placed_again_and_again_on_a_target_that_left() {
    let mut world = pair();
    while world.step() {}
    inject(&mut world, Kind::Goodbye, 0);
    inject(&mut world, Kind::Late, 0);
    world.submit(0, Caller::new(0, "placed once", 1, false));
    world.run_for(5 * SECOND_US);
    let (_, answer) = &world.callers[0].answers[0];
    expect_that!(answer.outcome, eq(Outcome::Complete));
    expect_that!(world.has_livelock, eq(false));
}

#[googletest::test]
fn a_task_whose_lease_is_over_does_not_start_when_a_slot_is_free() {
    let mut world = busy_pair();
    let (_, end) = world.items.pop_first().unwrap();
    world.cuts.insert((0, 0, Way::ToAgent));
    world.run_for(4 * SECOND_US);
    world.push(end);
    world.run_for(SECOND_US / 2);
    expect_that!(world.starts.len(), eq(1));
}

#[googletest::test]
fn a_list_that_arrives_twice_is_answered_alike() {
    let mut world = busy_pair();
    inject(&mut world, Kind::Cancel, 1);
    world.step();
    inject(&mut world, Kind::Reset, 1);
    let is_list = |item: &Item| matches!(item, Item::Report(_, report) if report.seq == 0);
    while !world.items.values().any(is_list) {
        world.step();
    }
    let list = world.items.values().find(|item| is_list(item)).cloned();
    world.push(list.unwrap());
    let replies = |world: &World| {
        let replies = world.items.iter();
        let replies = replies.filter(|(_, item)| matches!(item, Item::Reply(..)));
        replies.map(|(key, _)| *key).collect::<Vec<_>>()
    };
    while replies(&world).is_empty() {
        world.step();
    }
    world.items.remove(&replies(&world)[0]);
    world.run_for(5 * SECOND_US);
    let cancelled = world.callers[1].submission.as_ref();
    let started = world
        .starts
        .iter()
        .filter(|s| Some(&s.submission) == cancelled);
    expect_that!(started.count(), eq(0));
}

#[googletest::test]
fn a_task_that_waited_in_a_buffer_does_not_start_on_a_target_that_fell_silent() {
    let mut world = pair();
    let mut heartbeat = node::announcement(0);
    heartbeat.lease_ms = Millis::new(1_000);
    world.at_agent(0, AgentEvent::TargetAnnounced(heartbeat), true);
    world.submit(0, Caller::new(0, "waits", 1, false));
    run_until_sent(&mut world);
    world.now_us += 3 * SECOND_US / 2;
    while world.next_key().is_some() {
        world.step();
    }
    expect_that!(world.starts, is_empty());
}
