//! Evacuations while processes lose the store, lag behind it, restart and come back, in any order.

use dfs_ids::Millis;
use dfs_ids::Moment;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::deployment::BOUND_MS;
use super::deployment::Deployment;
use super::deployment::Path;

const SEEDS: u64 = 20;
const STEPS: usize = 60;
const ENTRIES: usize = 3;
/// Failure domains of the agents.
const AGENT_DOMAINS: [&str; 4] = ["lagos", "aba", "lagos", "aba"];
/// Time between two jobs.
const PERIOD_MS: u64 = 100;
/// Longest time without an action.
const MAX_PAUSE_MS: u64 = 3_000;
/// Time for which an agent must have been able to read the store until it is held to the bound.
const STABLE_MS: u64 = 4_000;
/// How far a copy lags behind that the store reads from after it has lost its history, and by how much the users extend
/// the bound then.
const LAG_MS: u64 = 3_000;
const EXTENSION_MS: u64 = 6_000;

/// Since when a domain is evacuated, by the store.
fn evacuated_since(requests: &[(Moment, &str)], domain: &str, at: Moment) -> Option<Moment> {
    let of_domain = requests
        .iter()
        .filter(|(requested_at, of)| *of == domain && *requested_at <= at);
    let toggles: Vec<_> = of_domain.map(|(requested_at, _)| *requested_at).collect();
    (toggles.len() % 2 == 1).then(|| toggles[toggles.len() - 1])
}

fn random_path(random: &mut SmallRng) -> Path {
    match random.random_range(0..6) {
        0 => Path::Silent,
        1 => Path::Refused,
        2 => Path::Lagging(LAG_MS),
        _ => Path::Open,
    }
}

/// One action. The entries often lose the store together, since that is when agents depend on their own reads.
fn act(
    deployment: &mut Deployment,
    random: &mut SmallRng,
    requests: &mut Vec<(Moment, &'static str)>,
) {
    let entry = random.random_range(0..ENTRIES);
    let agent = random.random_range(0..AGENT_DOMAINS.len());
    match random.random_range(0..10) {
        0 | 1 => {
            let domain = AGENT_DOMAINS[agent];
            deployment.toggle(domain);
            requests.push((deployment.world.now, domain));
        }
        2 | 3 => deployment.set_all_entry_paths(Path::Silent),
        4 => deployment.set_entry_path(entry, random_path(random)),
        5 => deployment.set_agent_path(agent, random_path(random)),
        6 => deployment.set_agent_path(agent, Path::Open),
        7 => {
            deployment.world.restart_agent(agent);
            (0..ENTRIES).for_each(|entry| deployment.world.connect(entry, agent));
        }
        8 => {
            deployment.world.restart_entry(entry);
            let agents = 0..AGENT_DOMAINS.len();
            agents.for_each(|agent| deployment.world.connect(entry, agent));
        }
        _ => {
            deployment.world.disconnect(entry, agent);
            deployment.world.connect(entry, agent);
        }
    }
}

/// Requests and withdrawals of the store, and the starts that were judged by them.
#[derive(Default)]
struct Judge {
    /// Times at which the evacuation of a domain was requested and withdrawn in turn.
    requests: Vec<(Moment, &'static str)>,
    /// Number of starts that were judged.
    judged: usize,
    /// Starts in domains that were evacuated for less than the bound, or at agents that were cut off.
    early: usize,
    /// Agents of the other starts.
    late: Vec<usize>,
}

impl Judge {
    fn judge(&mut self, deployment: &Deployment) {
        let starts: Vec<_> = deployment.starts(self.judged).collect();
        self.judged += starts.len();
        for (agent, started_at) in starts {
            let Some(since) = evacuated_since(&self.requests, AGENT_DOMAINS[agent], started_at)
            else {
                continue;
            };
            let has_lagged = deployment.lagged_at >= Some(since);
            let extension_ms = if has_lagged { EXTENSION_MS } else { 0 };
            let is_late = started_at > since + Millis::new(BOUND_MS + extension_ms);
            if is_late && deployment.open_ms(agent) >= STABLE_MS {
                self.late.push(agent);
            } else {
                self.early += 1;
            }
        }
    }
}

/// The users' rule, at each start: an agent that could read the store for some time starts nothing in a domain that
/// was evacuated for longer than the bound.
#[googletest::test]
fn no_agent_that_can_read_the_store_starts_a_task_after_the_bound() {
    let mut early = 0;
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut deployment = Deployment::new(ENTRIES, &AGENT_DOMAINS);
        let mut judge = Judge::default();
        for _ in 0..STEPS {
            act(&mut deployment, &mut random, &mut judge.requests);
            let is_idle = random.random_bool(0.3);
            for _ in 0..random.random_range(0..=MAX_PAUSE_MS / PERIOD_MS) {
                if !is_idle {
                    deployment.submit();
                }
                deployment.idle(PERIOD_MS);
                judge.judge(&deployment);
                deployment.end_runs();
            }
        }
        expect_that!(
            judge.late,
            is_empty(),
            "agents with late starts, seed {seed}"
        );
        early += judge.early;
    }
    expect_that!(early, gt(0), "the check has something to judge");
}
