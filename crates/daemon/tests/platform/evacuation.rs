//! Evacuation of a zone while processes are paused and killed, and while the store is silent or can't be reached.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::Callers;
use crate::callers::Load;
use crate::daemon::Signal;
use crate::judge::MIN_OVERLAP;
use crate::judge::describe_pair;
use crate::pool::Pool;
use crate::wait_until;

const ENTRIES: usize = 3;
const ZONES: [&str; 4] = ["lagos", "lagos", "aba", "aba"];
/// Workers of the zone "lagos".
const LAGOS: [usize; 2] = [0, 1];
const SEED: u64 = 1;
const LOAD: Load = Load {
    callers: 8,
    labels: &[],
};
/// Time within which the users require that nothing starts in the zone any more.
const BOUND: Duration = Duration::from_secs(5);
/// For how long the zone stays evacuated after the bound.
const HELD: Duration = Duration::from_secs(3);
/// From the start of the load to its end.
const RUN: Duration = Duration::from_secs(16);
/// The same with entries that are cut off, which learn of the withdrawal later.
const CUT_RUN: Duration = Duration::from_secs(20);
/// Longer than every lease, so that a paused agent is lost to the entries.
const PAUSE: Duration = Duration::from_millis(1_500);

fn starts(pool: &Pool, after: Instant) -> usize {
    let runs = pool.ledger.runs();
    runs.iter().filter(|run| run.started > after).count()
}

fn starts_in_lagos(pool: &Pool, after: Instant) -> usize {
    let runs = pool.ledger.runs();
    let in_lagos = runs.iter().filter(|run| LAGOS.contains(&run.worker));
    in_lagos.filter(|run| run.started > after).count()
}

async fn wait_for_start(pool: &Pool) {
    let now = Instant::now();
    wait_until("a task starts in the zone", async || {
        starts_in_lagos(pool, now) > 0
    })
    .await;
}

/// The request comes while an agent of the zone is paused. Then an entry and the zone's other agent are killed, and the
/// store falls silent, so that their successors have the set from other processes alone.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuation_holds_under_faults_and_ends_with_its_withdrawal() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut pool = Pool::start_in_zones(ENTRIES, &ZONES).await;
    let until = Instant::now() + RUN;
    let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), until);
    wait_for_start(&pool).await;
    pool.agents[0].signal(Signal::Stop);
    pool.store.evacuate("lagos");
    let bound_over_at = Instant::now() + BOUND;
    tokio::time::sleep(PAUSE).await;
    pool.agents[0].signal(Signal::Continue);
    pool.store.set_silent(true);
    pool.entries[0].kill();
    pool.agents[1].kill();
    pool.restart_entry(0);
    pool.restart_agent(1);
    tokio::time::sleep_until((bound_over_at + HELD).into()).await;
    expect_that!(starts_in_lagos(&pool, bound_over_at), eq(0));
    pool.store.set_silent(false);
    pool.store.withdraw_evacuation("lagos");
    wait_for_start(&pool).await;
    callers.finish().await;
    pool.wait_idle().await;
    let doubled = pool.ledger.doubled(MIN_OVERLAP);
    let doubled: Vec<_> = doubled.iter().map(describe_pair).collect();
    expect_that!(doubled, is_empty());
    // Each process logs the change at the request and at the withdrawal.
    expect_that!(pool.agent_events("evacuations_changed"), ge(ZONES.len()));
    if !doubled.is_empty() {
        println!("logs: {}", pool.keep_logs().display());
    }
}

/// Cuts all entries off from the store, which the agents still reach, or connects them again.
fn set_entries_cut(pool: &Pool, is_cut: bool) {
    pool.entry_links
        .iter()
        .for_each(|link| link.set_cut(is_cut));
}

/// Guards against agents that learn of an evacuation, and of its withdrawal, from entries alone: those know of neither
/// while the store is out of their reach. An agent that starts meanwhile has nothing but the store to learn it from.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuation_reaches_agents_whose_entries_are_all_cut_off_from_the_store() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut pool = Pool::start_in_zones(ENTRIES, &ZONES).await;
    let until = Instant::now() + CUT_RUN;
    let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), until);
    wait_for_start(&pool).await;
    set_entries_cut(&pool, true);
    pool.store.evacuate("lagos");
    let bound_over_at = Instant::now() + BOUND;
    tokio::time::sleep_until(bound_over_at.into()).await;
    pool.agents[1].kill();
    pool.restart_agent(1);
    tokio::time::sleep_until((bound_over_at + HELD).into()).await;
    expect_that!(starts_in_lagos(&pool, bound_over_at), eq(0));
    expect_that!(
        starts(&pool, bound_over_at),
        gt(0),
        "the other zone is used"
    );
    pool.store.withdraw_evacuation("lagos");
    wait_for_start(&pool).await;
    set_entries_cut(&pool, false);
    callers.finish().await;
    pool.wait_idle().await;
}
