//! Agents whose entries don't know what the store has: they read it themselves, but only then.

use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Revision;
use dfs_ids::SessionNumber;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentEvent;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Evacuations;
use dfs_wire::session::SessionParams;
use googletest::prelude::*;

use super::ABA;
use super::DOMAINS;
use super::LAGOS;
use super::deployment::BOUND_MS;
use super::deployment::Deployment;
use super::deployment::Path;
use super::deployment::TICK_MS;
use super::world::World;
use super::world::domain;
use super::world::full;

/// Agents of the test that spreads their reads.
const AGENTS: usize = 200;

/// Number of tasks that start in the first domain in so much time under load.
fn starts_in_lagos(deployment: &mut Deployment, ms: u64) -> usize {
    let before = deployment.world.started_at(LAGOS);
    deployment.run(ms);
    deployment.world.started_at(LAGOS) - before
}

fn running(deployment: &Deployment) -> usize {
    let world = &deployment.world;
    (0..world.agents.len())
        .map(|agent| world.running_at(agent))
        .sum()
}

/// Guards against reads of all agents on days on which the entries know everything.
#[googletest::test]
fn no_agent_reads_the_store_while_an_entry_does() {
    let mut deployment = Deployment::new(3, &DOMAINS);
    deployment.run(20_000);
    deployment.idle(60_000);
    deployment.run(1_000);
    deployment.set_entry_path(0, Path::Silent);
    deployment.set_entry_path(1, Path::Refused);
    deployment.run(20_000);
    deployment.toggle("lagos");
    deployment.run(1_000);
    deployment.toggle("lagos");
    deployment.run(20_000);
    expect_that!(deployment.agent_reads, eq(0));
}

#[googletest::test]
fn idle_agents_do_not_read_the_store_whatever_the_entries_know() {
    let mut deployment = Deployment::new(2, &DOMAINS);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.idle(120_000);
    expect_that!(deployment.agent_reads, eq(0));
}

#[googletest::test]
fn an_evacuation_and_its_withdrawal_reach_agents_whose_entries_are_all_cut_off() {
    for path in [Path::Silent, Path::Refused] {
        let mut deployment = Deployment::new(3, &DOMAINS);
        deployment.run(1_000);
        deployment.set_all_entry_paths(path);
        deployment.toggle("lagos");
        deployment.run(BOUND_MS);
        expect_that!(starts_in_lagos(&mut deployment, 10_000), eq(0));
        deployment.toggle("lagos");
        deployment.run(BOUND_MS);
        expect_that!(starts_in_lagos(&mut deployment, 1_000), gt(0));
    }
}

/// The only agents of the deployment wait for the withdrawal, and no other has a reason to read.
#[googletest::test]
fn a_withdrawal_reaches_agents_that_are_all_evacuated() {
    let mut deployment = Deployment::new(2, &["lagos", "lagos"]);
    deployment.toggle("lagos");
    deployment.run(1_000);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.idle(20_000);
    deployment.toggle("lagos");
    deployment.idle(2 * BOUND_MS);
    deployment.submit();
    deployment.idle(100);
    expect_that!(deployment.world.running_at(LAGOS), gt(0));
}

#[googletest::test]
fn agents_stop_reading_when_an_entry_reads_the_store_again() {
    let mut deployment = Deployment::new(2, &DOMAINS);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.run(20_000);
    let reads = deployment.agent_reads;
    // At most one read of each agent in each two fifths of the bound.
    expect_that!(reads, all![ge(2 * 6), le(2 * 10)]);
    deployment.set_entry_path(1, Path::Open);
    deployment.run(2_000);
    let reads = deployment.agent_reads;
    deployment.run(20_000);
    expect_that!(deployment.agent_reads, eq(reads));
}

/// Without the wait the first tasks would start before the agent knows anything.
#[googletest::test]
fn the_first_start_of_an_agent_waits_for_a_read_when_no_entry_knows_what_the_store_has() {
    let mut deployment = Deployment::new(1, &DOMAINS);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.toggle("lagos");
    deployment.idle(BOUND_MS);
    deployment.world.restart_agent(LAGOS);
    deployment.world.restart_agent(ABA);
    let before = deployment.world.starts.len();
    deployment.world.connect_all();
    deployment.submit();
    expect_that!(deployment.world.starts.len(), eq(before));
    deployment.idle(100);
    deployment.submit();
    deployment.idle(100);
    let mut starts = deployment.starts(before);
    expect_true!(starts.all(|(agent, _)| agent == ABA));
    expect_that!(deployment.world.running_at(ABA), gt(0));
}

/// An agent that is cut off as well must not stop its target for that alone.
#[googletest::test]
fn starts_do_not_wait_for_long_at_an_agent_that_cannot_read_the_store_either() {
    for path in [Path::Silent, Path::Refused] {
        let mut deployment = Deployment::new(1, &DOMAINS);
        deployment.set_all_entry_paths(path);
        deployment.set_agent_path(LAGOS, path);
        deployment.set_agent_path(ABA, path);
        deployment.idle(60_000);
        deployment.submit();
        deployment.idle(300);
        expect_that!(running(&deployment), eq(DOMAINS.len()));
        deployment.end_runs();
        // Under load nothing waits any more.
        for _ in 0..100 {
            deployment.submit();
            expect_that!(running(&deployment), eq(DOMAINS.len()));
            deployment.idle(100);
            deployment.end_runs();
        }
    }
}

/// The copy does not have the request yet. Its answer must not count as a recent one.
#[googletest::test]
fn an_answer_of_a_copy_that_lags_behind_confirms_nothing() {
    let mut deployment = Deployment::new(1, &DOMAINS);
    deployment.toggle("aba");
    deployment.run(1_500);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.set_agent_path(LAGOS, Path::Lagging(20_000));
    deployment.run(BOUND_MS);
    let age_ms = |deployment: &Deployment| {
        deployment.world.agents[LAGOS].evacuations_age_ms(deployment.world.now)
    };
    expect_that!(age_ms(&deployment), some(ge(Millis::new(BOUND_MS))));
    deployment.set_agent_path(LAGOS, Path::Open);
    deployment.run(BOUND_MS);
    expect_that!(age_ms(&deployment), some(lt(Millis::new(BOUND_MS))));
}

/// A read that the store has held up must not bring back what has changed since.
#[googletest::test]
fn a_late_answer_with_an_older_set_changes_nothing() {
    let mut deployment = Deployment::new(1, &DOMAINS);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.set_agent_path(LAGOS, Path::Silent);
    deployment.run(BOUND_MS);
    let of_lagos = |(agent, ..): &&(usize, _, _)| *agent == LAGOS;
    let held_up = *deployment.world.reads.iter().find(of_lagos).unwrap();
    deployment.toggle("lagos");
    deployment.set_agent_path(LAGOS, Path::Open);
    deployment.run(BOUND_MS);
    expect_true!(deployment.world.driver_evacuated[LAGOS]);
    deployment
        .world
        .answer(LAGOS, held_up.1, Some(Evacuations::default()));
    expect_true!(deployment.world.driver_evacuated[LAGOS]);
}

/// An entry that is short of processor time handles an answer long after it has sent the read.
#[googletest::test]
fn an_entry_tells_the_age_of_its_read_and_not_that_of_the_answer() {
    const READ_MS: u64 = 3_000;
    let mut world = World::with_reads(1, &DOMAINS, Some(Millis::new(BOUND_MS)));
    world.connect_all();
    let sent_at = world.now;
    world.advance(READ_MS);
    world.read_late(0, full(5, &[]), sent_at);
    world.advance(1_000);
    let age_ms = world.agents[LAGOS].evacuations_age_ms(world.now);
    expect_that!(age_ms, some(eq(Millis::new(READ_MS + 1_000))));
}

fn new_agent(number: u64) -> Agent {
    Agent::new(Incarnation::new(number), Millis::new(10_000))
        .in_domain(domain("lagos"))
        .reading_evacuations(Millis::new(BOUND_MS))
}

fn message(seq: u64, items: Vec<EntryItem>) -> AgentEvent {
    AgentEvent::Message {
        connection: ConnectionId(1),
        message: EntryMessage {
            session: SessionNumber::default().next(),
            seq,
            items,
        },
    }
}

fn open() -> EntryItem {
    EntryItem::Open(SessionParams {
        entry: "entry".parse().unwrap(),
        incarnation: Incarnation::new(1),
        domain: domain("lagos"),
        resumed: false,
        lease_ms: Millis::new(3_000),
        busy_renew_ms: Millis::new(1_000),
        idle_renew_ms: Millis::new(1_000),
        version: None,
    })
}

fn acked(sent_messages: u64, age_ms: u64) -> AgentEvent {
    AgentEvent::ReportAcked {
        connection: ConnectionId(1),
        seq: 0,
        ack: Ack {
            sent_messages: Some(sent_messages),
            evacuations_age_ms: Some(Millis::new(age_ms)),
            ..Ack::default()
        },
    }
}

/// An agent that believed such a reply would hold a set for recent that lacks what the message brings.
#[googletest::test]
fn a_reply_that_overtakes_a_message_confirms_the_set_only_with_that_message() {
    let mut agent = new_agent(1);
    let now = Moment::from_millis(20_000);
    agent.handle(now, message(0, vec![open()]));
    agent.flush(now);
    let later = now + Millis::new(40);
    agent.handle(later, acked(2, 300));
    expect_that!(agent.evacuations_age_ms(later), none());
    let evacuations = Evacuations {
        revision: Revision::new(7),
        domains: [domain("lagos")].into(),
    };
    agent.handle(later, message(1, vec![EntryItem::Evacuations(evacuations)]));
    // The age counts from when the report was sent, since the reply may have been held up.
    expect_that!(agent.evacuations_age_ms(later), some(eq(Millis::new(340))));
}

#[googletest::test]
fn an_entry_of_an_earlier_build_confirms_nothing() {
    let mut agent = new_agent(1);
    let now = Moment::from_millis(20_000);
    agent.handle(now, message(0, vec![open()]));
    agent.flush(now);
    let ack = AgentEvent::ReportAcked {
        connection: ConnectionId(1),
        seq: 0,
        ack: Ack::default(),
    };
    agent.handle(now, ack);
    expect_that!(agent.evacuations_age_ms(now), none());
}

/// All entries lose the store in one moment; thousands of agents must not read it in one moment, too.
#[googletest::test]
fn agents_that_lose_their_entries_together_read_the_store_one_after_the_other() {
    let mut deployment = Deployment::new(1, &["lagos"; AGENTS]);
    deployment.run(1_000);
    deployment.set_all_entry_paths(Path::Silent);
    deployment.submit();
    let mut most = 0;
    for _ in 0..BOUND_MS / TICK_MS {
        let before = deployment.agent_reads;
        deployment.step();
        most = most.max(deployment.agent_reads - before);
    }
    expect_that!(deployment.agent_reads, ge(AGENTS));
    // Spread over the 750 ms between the first and the last, there are 5 or 6 in each of 38 ticks.
    expect_that!(most, le(AGENTS / 10));
}
