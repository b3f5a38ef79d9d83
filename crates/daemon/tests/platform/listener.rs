//! Workers that can't be reached, whose runs go on or not.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;

use crate::callers::Callers;
use crate::callers::Load;
use crate::callers::Reply;
use crate::callers::Submission;
use crate::judge::MIN_OVERLAP;
use crate::judge::describe_pair;
use crate::ledger::LoggedRun;
use crate::pool::Pool;
use crate::relay::LinkState;

const ENTRIES: usize = 3;
const WORKERS: usize = 5;
const SEED: u64 = 1;
const LOAD: Load = Load {
    callers: 8,
    labels: &[],
};
const RUN: Duration = Duration::from_secs(8);
const CRASHES: usize = 3;
const OUTAGE_MS: Range<u64> = 20..700;
const GAP_MS: Range<u64> = 200..800;

async fn pause(random: &mut SmallRng, range_ms: Range<u64>) {
    let ms = random.random_range(range_ms);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Lets the listener of every worker fail again and again while jobs run.
async fn let_listeners_fail(state: LinkState) {
    let mut random = SmallRng::seed_from_u64(SEED);
    let pool = Pool::start(ENTRIES, WORKERS).await;
    let until = Instant::now() + RUN;
    let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), until);
    let mut failing = JoinSet::new();
    for listener in &pool.listeners {
        let listener = Arc::clone(listener);
        let mut random = SmallRng::seed_from_u64(random.random());
        failing.spawn(async move {
            while Instant::now() < until {
                pause(&mut random, GAP_MS).await;
                listener.set_state(state);
                pause(&mut random, OUTAGE_MS).await;
                listener.set_state(LinkState::Open);
            }
        });
    }
    failing.join_all().await;
    verify(pool, callers.finish().await).await;
}

async fn verify(mut pool: Pool, submissions: Vec<Submission>) {
    pool.wait_idle().await;
    let pairs = pool.ledger.doubled(MIN_OVERLAP);
    let pairs: Vec<_> = pairs.iter().map(describe_pair).collect();
    let not_done: Vec<_> = submissions.iter().filter(|job| !is_done(job)).collect();
    println!(
        "{} jobs, {} not done; {} pairs of runs at once; {} ends concluded (427), {} stray runs (428)",
        submissions.len(),
        not_done.len(),
        pairs.len(),
        pool.agent_events("run_end_concluded"),
        pool.agent_events("stray_run"),
    );
    expect_that!(pairs, is_empty());
    expect_that!(not_done, is_empty());
    if !pairs.is_empty() || !not_done.is_empty() {
        println!("logs: {}", pool.keep_logs().display());
    }
}

fn is_done(submission: &Submission) -> bool {
    matches!(submission.replies.last(), Some(Reply::Status(200, body)) if body.contains("succeeded"))
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_the_listener_of_their_worker_fails() {
    let_listeners_fail(LinkState::Refused).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_their_worker_refuses_new_connections() {
    let_listeners_fail(LinkState::NewRefused).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_their_worker_resets_connections() {
    let_listeners_fail(LinkState::Reset).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_their_worker_answers_nothing() {
    let_listeners_fail(LinkState::Blocked).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_when_an_agent_restarts_while_the_listener_of_its_worker_fails() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut pool = Pool::start(ENTRIES, WORKERS).await;
    let until = Instant::now() + RUN;
    let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), until);
    while Instant::now() < until {
        pause(&mut random, GAP_MS).await;
        let index = random.random_range(0..WORKERS);
        pool.listeners[index].set_state(LinkState::Refused);
        pool.agents[index].kill();
        pause(&mut random, 20..200).await;
        pool.restart_agent(index);
        pause(&mut random, OUTAGE_MS).await;
        pool.listeners[index].set_state(LinkState::Open);
    }
    verify(pool, callers.finish().await).await;
}

/// Times from a crash to the next starts of the tasks that it has ended.
fn delays(runs: &[LoggedRun], worker: usize, crash: Instant) -> Vec<Duration> {
    let just_before = crash.checked_sub(Duration::from_millis(10)).unwrap();
    let lost = runs.iter().filter(|run| {
        let ended = run
            .ended
            .is_some_and(|ended| (just_before..=crash).contains(&ended));
        run.worker == worker && ended && !run.is_done
    });
    let next_start = |lost: &LoggedRun| {
        let mut later = runs
            .iter()
            .filter(|run| run.task == lost.task && run.started >= crash);
        later.next().map(|run| run.started - crash)
    };
    lost.filter_map(next_start).collect()
}

/// Crashes one worker after the other under its tasks. Jobs of one round don't meet the crash of the next.
async fn crash_workers(id_after: impl Fn(usize) -> String) {
    let mut random = SmallRng::seed_from_u64(SEED);
    let pool = Pool::start(ENTRIES, WORKERS).await;
    let (mut crashes, mut submissions) = (Vec::new(), Vec::new());
    for index in 0..CRASHES {
        let until = Instant::now() + Duration::from_secs(1);
        let callers = Callers::start(LOAD, &mut random, &pool.entry_addresses(), until);
        pause(&mut random, GAP_MS).await;
        pool.crash_worker(index);
        crashes.push((index, Instant::now()));
        pause(&mut random, 200..2_000).await;
        pool.boot_worker(index, &id_after(index), &pool.workers[index].label());
        submissions.extend(callers.finish().await);
    }
    let runs = pool.ledger.runs();
    let delays = crashes
        .iter()
        .flat_map(|(index, at)| delays(&runs, *index, *at));
    let mut delays: Vec<_> = delays.map(|delay| delay.as_millis()).collect();
    delays.sort_unstable();
    println!("tasks start again after a crash of their worker, ms: {delays:?}");
    verify(pool, submissions).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_crashed_worker_that_returns_are_done() {
    crash_workers(|index| format!("i-{index}")).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_crashed_worker_that_returns_under_another_id_are_done() {
    crash_workers(|index| format!("i-{index}-later")).await;
}
