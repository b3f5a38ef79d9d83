//! Entries and agents that read one store, each over a path that may fail.

use std::collections::BTreeSet;

use dfs_conf::EvacuationUpdate;
use dfs_conf::Evacuations;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Revision;
use dfs_policy::reads::ReadId;

use super::world::World;
use super::world::domain;

pub const BOUND_MS: u64 = 5_000;
pub const TICK_MS: u64 = 20;
/// Time between two reads of an entry, which its source holds until something changes.
const ENTRY_READ_MS: u64 = 600;
/// Time from a read of an agent to its answer.
const ANSWER_MS: u64 = 20;

/// What becomes of the reads of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    Open,
    /// Reads are never answered.
    Silent,
    /// Reads fail at once.
    Refused,
    /// Reads are served from a copy that lags so many milliseconds behind, as after a lost history.
    Lagging(u64),
}

/// A world with a store.
pub struct Deployment {
    pub world: World,
    /// The sets that the store has had, by revision, each with the time since when.
    sets: Vec<(Moment, BTreeSet<&'static str>)>,
    domains: Vec<&'static str>,
    entry_paths: Vec<Path>,
    agent_paths: Vec<Path>,
    /// When the path of each agent was last changed.
    agent_path_changed_at: Vec<Moment>,
    entries_read_at: Moment,
    /// When a read was last served from a copy that lags behind.
    pub lagged_at: Option<Moment>,
    /// Number of reads that agents have sent.
    pub agent_reads: usize,
    next_job: usize,
}

impl Deployment {
    /// A deployment in which every agent has a session with every entry, and all entries have read the store.
    pub fn new(entries: usize, domains: &[&'static str]) -> Self {
        let world = World::with_reads(entries, domains, Some(Millis::new(BOUND_MS)));
        let mut deployment = Self {
            entries_read_at: world.now,
            lagged_at: None,
            agent_path_changed_at: vec![world.now; domains.len()],
            sets: vec![(Moment::default(), BTreeSet::new())],
            domains: domains.to_vec(),
            entry_paths: vec![Path::Open; entries],
            agent_paths: vec![Path::Open; domains.len()],
            agent_reads: 0,
            next_job: 0,
            world,
        };
        deployment.world.connect_all();
        deployment.read_entries();
        deployment
    }

    pub fn set_entry_path(&mut self, entry: usize, path: Path) {
        self.entry_paths[entry] = path;
    }

    pub fn set_all_entry_paths(&mut self, path: Path) {
        self.entry_paths.fill(path);
    }

    pub fn set_agent_path(&mut self, agent: usize, path: Path) {
        if self.agent_paths[agent] != path {
            self.agent_paths[agent] = path;
            self.agent_path_changed_at[agent] = self.world.now;
        }
    }

    /// Time for which the reads of an agent have been answered well.
    pub fn open_ms(&self, agent: usize) -> u64 {
        match self.agent_paths[agent] {
            Path::Open => self
                .world
                .now
                .since(self.agent_path_changed_at[agent])
                .get(),
            _ => 0,
        }
    }

    /// Requests or withdraws the evacuation of a domain.
    pub fn toggle(&mut self, domain: &'static str) {
        let (_, mut set) = self.sets.last().unwrap().clone();
        if !set.remove(domain) {
            set.insert(domain);
        }
        self.sets.push((self.world.now, set));
    }

    /// The set as a path shows it, `None` if it shows none.
    fn evacuations(&mut self, path: Path) -> Option<Evacuations> {
        let now = self.world.now;
        let as_of = match path {
            Path::Open => now,
            Path::Lagging(lag_ms) => {
                self.lagged_at = Some(now);
                now - Millis::new(lag_ms)
            }
            Path::Silent | Path::Refused => return None,
        };
        let revision = self.sets.iter().rposition(|(since, _)| *since <= as_of);
        let revision = revision.unwrap_or_default();
        let (_, domains) = &self.sets[revision];
        Some(Evacuations {
            revision: Revision::new(u64::try_from(revision).unwrap()),
            domains: domains.iter().map(|name| domain(name)).collect(),
        })
    }

    /// Delivers the answers to reads that the entries sent with the read before.
    fn read_entries(&mut self) {
        let sent_at = std::mem::replace(&mut self.entries_read_at, self.world.now);
        for entry in 0..self.entry_paths.len() {
            if let Some(evacuations) = self.evacuations(self.entry_paths[entry]) {
                let update = EvacuationUpdate::Full(evacuations);
                self.world.read_late(entry, update, sent_at);
            }
        }
    }

    fn answer_agents(&mut self) {
        let now = self.world.now;
        let due = |(_, _, sent_at): &&(usize, ReadId, Moment)| {
            now.since(*sent_at) >= Millis::new(ANSWER_MS)
        };
        let due: Vec<_> = self.world.reads.iter().filter(due).copied().collect();
        for (agent, read, _) in due {
            let path = self.agent_paths[agent];
            if path != Path::Silent {
                let answer = self.evacuations(path);
                self.world.answer(agent, read, answer);
            }
        }
    }

    /// Lets one tick pass.
    pub fn step(&mut self) {
        let before = self.world.reads.len();
        self.world.tick(TICK_MS);
        self.agent_reads += self.world.reads.len() - before;
        if self.world.now.since(self.entries_read_at).get() >= ENTRY_READ_MS {
            self.read_entries();
        }
        self.answer_agents();
    }

    /// Lets time pass without jobs.
    pub fn idle(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.step());
    }

    /// Lets time pass under load: each entry gets a job of some tasks each 100 ms, and runs end with the next one.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.submit();
            self.idle(100);
            self.end_runs();
        }
    }

    pub fn submit(&mut self) {
        for entry in 0..self.entry_paths.len() {
            self.next_job += 1;
            let name = format!("job-{}", self.next_job);
            self.world.submit(entry, &name, self.domains.len(), None);
        }
    }

    pub fn end_runs(&mut self) {
        for agent in 0..self.domains.len() {
            while self.world.running_at(agent) > 0 {
                self.world.end_run(agent);
            }
        }
    }

    /// Agents and times of the starts since the first `skip` ones.
    pub fn starts(&self, skip: usize) -> impl Iterator<Item = (usize, Moment)> + '_ {
        let starts = self.world.starts.iter().zip(&self.world.start_times);
        starts
            .skip(skip)
            .map(|((agent, _), started_at)| (*agent, *started_at))
    }
}
