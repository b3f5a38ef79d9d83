//! Changes of the desired state at entries that are short of processor time, or that the store ignores.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::callers::Callers;
use crate::callers::Load;
use crate::client;
use crate::daemon::Daemon;
use crate::daemon::Role;
use crate::daemon::Signal;
use crate::pool::Pool;
use crate::settings::PREFIX;
use crate::settings::config;
use crate::wait_until;

/// Time within which the users require a change to be active.
const BOUND: Duration = Duration::from_secs(2);
/// Higher than the version with which the pool starts.
const FIRST_VERSION: u64 = 100;
const CHANGES: u64 = 3;
/// Requests that the entry has at any time.
const OPEN_REQUESTS: usize = 2_500;
const TASKS: u32 = 32;
const RUN_MS: &str = "100";
const DEADLINE_MS: u64 = 1_500;
/// An allotment of processor time, and the period for which it is.
const ALLOTMENT: Duration = Duration::from_millis(12);
const ALLOTMENT_PERIOD: Duration = Duration::from_millis(100);
/// Time until the requests wait for each other.
const WARM_UP: Duration = Duration::from_secs(2);
/// A bound that leaves time for a fault before entries ask agents, which they do after a quarter of it.
const LONG_BOUND: Duration = Duration::from_secs(4);
/// Renewal interval of idle sessions where an entry has 59 agents.
const IDLE_RENEW_MS: u64 = 13_800;
/// Load that makes agents report to all entries.
const LOAD: Load = Load {
    callers: 16,
    labels: &[],
};
/// Time until agents have reported a version to all entries, and less than until one of them is asked for it.
const REPORTED_AFTER: Duration = Duration::from_millis(500);
const LOAD_TIME: Duration = Duration::from_secs(3);
const SEED: u64 = 1;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends requests to an entry until they are stopped, each as soon as the one before is answered.
struct Crowd {
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(pool: &Pool, entry: usize) -> Self {
        let address = pool.entry_address(entry);
        let caller = |_| {
            tokio::spawn(async move {
                let client = client::http_client();
                let job = client::job(TASKS, RUN_MS);
                loop {
                    let id = client::new_id();
                    client::post_with_client(&client, address, &id, &job, DEADLINE_MS).await;
                }
            })
        };
        Self {
            callers: (0..OPEN_REQUESTS).map(caller).collect(),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}

/// Lets a process run for [`ALLOTMENT`] of each [`ALLOTMENT_PERIOD`].
pub async fn limit_processor_time(process: &Daemon) -> ! {
    loop {
        process.signal(Signal::Stop);
        tokio::time::sleep(ALLOTMENT_PERIOD.saturating_sub(ALLOTMENT)).await;
        process.signal(Signal::Continue);
        tokio::time::sleep(ALLOTMENT).await;
    }
}

fn adoption_line(version: u64) -> String {
    format!("version_adopted version={version} ")
}

/// Writes a version, and returns how long the entry needs to adopt it.
async fn adoption_delay(pool: &Pool, entry: usize, version: u64) -> Duration {
    let line = adoption_line(version);
    pool.store.put_config(&config(version, PREFIX));
    let confirmed_at = Instant::now();
    wait_until(&line, async || {
        tokio::time::sleep(POLL_INTERVAL).await;
        pool.entries[entry].log_text().contains(&line)
    })
    .await;
    confirmed_at.elapsed()
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_active_in_time_at_an_entry_whose_requests_wait_for_processor_time() {
    let pool = Pool::start(2, 1).await;
    let _crowd = Crowd::start(&pool, 0);
    let measure = async {
        tokio::time::sleep(WARM_UP).await;
        let mut delays = Vec::new();
        for version in FIRST_VERSION..FIRST_VERSION + CHANGES {
            delays.push(adoption_delay(&pool, 0, version).await);
        }
        delays
    };
    let delays = tokio::select! {
        delays = measure => delays,
        never = limit_processor_time(&pool.entries[0]) => never,
    };
    expect_that!(delays, each(lt(&BOUND)));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_the_store_ignores_has_a_change_in_time_beside_an_agent_that_hangs() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let pool = Pool::start_with(2, 4, |role, settings| {
        if matches!(role, Role::Entry) {
            settings["entry"]["lease"]["idle_renew_ms"] = json!(IDLE_RENEW_MS);
            settings["host"]["config_bound_ms"] = json!(LONG_BOUND.as_millis());
        }
    })
    .await;
    for ignored in 0..2 {
        pool.entry_links[ignored].set_cut(true);
        let (other_entry, until) = (pool.entry_address(1 - ignored), Instant::now() + LOAD_TIME);
        let callers = Callers::start(LOAD, &mut random, &[other_entry], until);
        let version = FIRST_VERSION + ignored as u64;
        let (delay, is_hanging) = tokio::join!(
            adoption_delay(&pool, ignored, version),
            hang_last_holder(&pool, version)
        );
        callers.finish().await;
        if is_hanging {
            expect_that!(delay, lt(LONG_BOUND));
            return;
        }
        restore_link(&pool, ignored).await;
    }
    panic!("no entry is the source of less than three agents");
}

/// Connects an entry to the store again, and waits until it has read the store.
async fn restore_link(pool: &Pool, entry: usize) {
    let answered_reads = || {
        let log = pool.entries[entry].log_text();
        log.matches(" store_reachable ").count()
    };
    let answered_before = answered_reads();
    pool.entry_links[entry].set_cut(false);
    wait_until("the entry reads the store", async || {
        answered_reads() > answered_before
    })
    .await;
}

/// Stops the last of the agents that hold a version before one of them is asked for it, unless less than two hold it.
async fn hang_last_holder(pool: &Pool, version: u64) -> bool {
    tokio::time::sleep(REPORTED_AFTER).await;
    let line = adoption_line(version);
    let agents = pool.agents.iter();
    let holders: Vec<_> = agents
        .filter(|agent| agent.log_text().contains(&line))
        .collect();
    let [_, .., last] = holders[..] else {
        return false;
    };
    last.signal(Signal::Stop);
    true
}
