//! Evacuation of failure domains: entries and agents together, and an entry's sets from the store.

mod deployment;
mod freshness;
mod random;
mod random_paths;
mod returning;
mod spread;
mod unservable;
mod world;

use googletest::prelude::*;
use world::SLOTS;
use world::World;
use world::full;

const LAGOS: usize = 0;
const ABA: usize = 1;
const DOMAINS: [&str; 2] = ["lagos", "aba"];
const ALL_SLOTS: usize = 2 * SLOTS as usize;

fn end_all(world: &mut World) {
    for agent in [LAGOS, ABA] {
        while world.running_at(agent) > 0 {
            world.end_run(agent);
        }
    }
}

/// A deployment that evacuates nothing may have peers that do not know the item.
#[googletest::test]
fn without_an_evacuation_no_message_names_one() {
    let mut world = World::connected(2, &DOMAINS);
    for revision in [5, 9] {
        world.read(0, full(revision, &[]));
        world.submit(0, &format!("job-{revision}"), ALL_SLOTS, None);
        end_all(&mut world);
    }
    world.connect(0, ABA);
    world.connect(1, ABA);
    world.advance(5_000);
    expect_that!(world.evacuation_items, eq(0));
    expect_that!(world.answers.len(), eq(2));
}

/// An entry that counts an evacuated target, or an agent that starts what is queued there, breaks the promise.
#[googletest::test]
fn queued_tasks_of_an_evacuated_domain_run_elsewhere_and_active_runs_go_on() {
    let mut world = World::connected(1, &DOMAINS);
    world.submit(0, "job", 2 * ALL_SLOTS, None);
    let running = world.running_at(LAGOS);
    expect_that!(running, eq(SLOTS as usize));
    world.read(0, full(5, &["lagos"]));
    expect_that!(world.agents[LAGOS].queued(), eq(0));
    expect_that!(world.running_at(LAGOS), eq(running));
    for _ in 0..2 * ALL_SLOTS {
        end_all(&mut world);
    }
    expect_that!(world.started_at(LAGOS), eq(running));
    expect_true!(world.answers["job"].failure.is_none());
}

/// The placement overtakes the request: the agent knows of the evacuation from another entry.
#[googletest::test]
fn a_placement_on_its_way_does_not_start_in_an_evacuated_domain() {
    let mut world = World::connected(2, &DOMAINS);
    world.held.insert((0, LAGOS));
    world.submit(0, "job", ALL_SLOTS, None);
    expect_that!(world.started_at(LAGOS), eq(0));
    world.read(1, full(5, &["lagos"]));
    world.held.clear();
    world.deliver();
    for _ in 0..ALL_SLOTS {
        end_all(&mut world);
    }
    expect_that!(world.started_at(LAGOS), eq(0));
    expect_true!(world.answers["job"].failure.is_none());
}

#[googletest::test]
fn two_domains_are_evacuated_and_withdrawn_one_by_one() {
    let mut world = World::connected(1, &["lagos", "aba", "ibadan"]);
    world.read(0, full(5, &["lagos"]));
    world.read(0, world::changes(5, 8, &[("aba", true)]));
    world.submit(0, "first", 3, None);
    let started = |world: &World| [0, 1, 2].map(|agent| world.started_at(agent));
    expect_that!(started(&world), eq([0, 0, 3]));
    world.read(0, world::changes(8, 9, &[("lagos", false)]));
    world.submit(0, "second", ALL_SLOTS, None);
    expect_that!(started(&world)[0], gt(0));
    expect_that!(started(&world)[1], eq(0));
}

/// The entry must not wait until the agents of the domain have heard and say that they leave.
#[googletest::test]
fn an_entry_places_nothing_at_agents_that_have_not_heard_yet() {
    let mut world = World::connected(1, &DOMAINS);
    world.held.insert((0, LAGOS));
    world.read(0, full(5, &["lagos"]));
    world.submit(0, "job", SLOTS as usize, None);
    expect_that!(world.running_at(ABA), eq(SLOTS as usize));
}

#[googletest::test]
fn a_request_that_arrives_twice_changes_nothing() {
    let mut world = World::connected(1, &DOMAINS);
    world.read(0, full(5, &["lagos"]));
    let items = world.evacuation_items;
    world.read(0, world::changes(5, 7, &[("lagos", true)]));
    world.submit(0, "job", 2, None);
    expect_that!(world.started_at(LAGOS), eq(0));
    expect_that!(world.evacuation_items, eq(items));
}
