//! Simulated processes and their configuration.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentEvent;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_wire::api::Answer;
use dfs_wire::session::Terms;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use serde_json::value::RawValue;

pub const GROUP: &str = "aba";
pub const SERVICE: &str = "member-desk";
pub const MAX_ATTEMPTS: u32 = 3;
/// Longest silence of a target before its agent considers it lost; sessions have a lease of the same
/// length by default.
pub const LEASE_MS: u64 = 3_000;
pub const RESULT_RETENTION_MS: u64 = 2_000;

/// A process that can crash, restart and be paused.
#[derive(Debug)]
pub struct Node<S> {
    /// Absent while the process is down.
    pub state: Option<S>,
    pub incarnation: Incarnation,
    pub is_paused: bool,
    /// Time by which the clock of the process is behind, since it was paused together with the process.
    pub clock_lag_us: u64,
}

impl<S> Node<S> {
    pub fn new(state: S, incarnation: Incarnation) -> Self {
        Self {
            state: Some(state),
            incarnation,
            is_paused: false,
            clock_lag_us: 0,
        }
    }

    pub fn clock(&self, now_us: u64) -> Moment {
        Moment::from_micros(now_us - self.clock_lag_us)
    }

    pub fn is_running(&self) -> bool {
        self.state.is_some() && !self.is_paused
    }
}

/// A target; the simulation logs its starts.
#[derive(Debug)]
pub struct Target {
    pub is_up: bool,
    pub is_paused: bool,
    /// Whether it has withdrawn its announcement and not announced itself again.
    pub is_leaving: bool,
}

/// A caller with one submission and the answers to it.
#[derive(Debug)]
pub struct Caller {
    pub entry: usize,
    /// JSON body of each task.
    pub bodies: Vec<String>,
    pub is_repeatable: bool,
    pub deadline_ms: u64,
    /// Absent until the entry has received the submission.
    pub submission: Option<SubmissionId>,
    pub submitted_us: u64,
    /// Answers with the time of each.
    pub answers: Vec<(u64, Answer)>,
    /// Whether the entry was down on submission or went down before it answered.
    pub is_disconnected: bool,
}

impl Caller {
    pub fn new(entry: usize, name: &str, tasks: usize, is_repeatable: bool) -> Self {
        Self {
            entry,
            bodies: (0..tasks).map(|n| format!("\"{name}/{n}\"")).collect(),
            is_repeatable,
            deadline_ms: 30_000,
            submission: None,
            submitted_us: 0,
            answers: Vec::new(),
            is_disconnected: false,
        }
    }

    pub fn submission(&self, id: SubmissionId) -> Submission {
        Submission {
            id,
            group: GROUP.parse().unwrap(),
            service: SERVICE.parse().unwrap(),
            tasks: self.bodies.iter().map(|body| raw(body)).collect(),
            deadline_ms: Some(Millis::new(self.deadline_ms)),
            terms: Terms {
                repeatable: self.is_repeatable,
                ..Terms::default()
            },
            objective_ms: None,
            max_failures: Some(1),
            constraints: Constraints::default(),
            job: None,
            queue: None,
        }
    }
}

pub fn raw(json: &str) -> Arc<RawValue> {
    Arc::from(RawValue::from_string(json.to_owned()).unwrap())
}

fn config() -> Arc<Config> {
    let mut rules = Rules::default();
    rules.retry.max_attempts = MAX_ATTEMPTS;
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory: Inventory {
            domains: vec!["aba".parse().unwrap()],
            operators: Vec::new(),
            services: vec![Service {
                service: SERVICE.parse().unwrap(),
                requires: Resources::default(),
            }],
            groups: vec![Group {
                group: GROUP.parse().unwrap(),
                share: 1.0,
                tokens_sha256: Vec::new(),
                services: vec![SERVICE.parse().unwrap()],
                targets: Vec::new(),
                max_placed: None,
            }],
            queues: Vec::new(),
            targets: Vec::new(),
        },
        rules,
    })
}

pub fn entry(index: usize, incarnation: Incarnation) -> Entry {
    let identity = Identity {
        entry: format!("entry-{index}").parse().unwrap(),
        domain: "aba".parse().unwrap(),
        incarnation,
        lease: LeaseSettings::default(),
        propagation_ms: Millis::new(1_000),
    };
    let mut entry = Entry::new(identity, incarnation.get());
    entry.handle(Moment::default(), EntryEvent::Configured(config()));
    entry
}

pub fn agent(incarnation: Incarnation) -> Agent {
    let mut agent = Agent::new(incarnation, Millis::new(RESULT_RETENTION_MS));
    agent.handle(Moment::default(), AgentEvent::ConfigAdopted(config()));
    agent
}

pub fn announcement(index: usize) -> Announcement {
    Announcement {
        address: ([127, 0, 0, 1], 1).into(),
        lease_ms: Millis::new(LEASE_MS),
        offer: Offer {
            target: format!("target-{index}").parse().unwrap(),
            services: vec![SERVICE.parse().unwrap()],
            slots: Slots::new(1),
            connections: 8,
            resources: Resources::default(),
            labels: Vec::new(),
        },
    }
}
