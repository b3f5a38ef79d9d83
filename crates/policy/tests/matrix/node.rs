//! The processes and their settings.

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
/// Longest silence before a target, an agent or an entry is given up.
pub const LEASE_MS: u64 = 3_000;
pub const KEEP_RESULTS_MS: u64 = 2_000;

/// A process that can die and be paused.
#[derive(Debug)]
pub struct Node<M> {
    /// Absent while the process is down.
    pub machine: Option<M>,
    pub life: Incarnation,
    pub is_frozen: bool,
    /// Time that its clock did not count.
    pub lag_us: u64,
}

impl<M> Node<M> {
    pub fn new(machine: M, life: Incarnation) -> Self {
        Self {
            machine: Some(machine),
            life,
            is_frozen: false,
            lag_us: 0,
        }
    }

    pub fn clock(&self, now_us: u64) -> Moment {
        Moment::from_micros(now_us - self.lag_us)
    }

    pub fn is_awake(&self) -> bool {
        self.machine.is_some() && !self.is_frozen
    }
}

/// A target that logs every start elsewhere.
#[derive(Debug)]
pub struct Target {
    pub is_up: bool,
    pub is_frozen: bool,
    /// Whether it has said goodbye.
    pub is_leaving: bool,
}

/// A caller and what it was told.
#[derive(Debug)]
pub struct Caller {
    pub entry: usize,
    pub bodies: Vec<String>,
    pub repeatable: bool,
    pub deadline_ms: u64,
    pub submission: Option<SubmissionId>,
    pub submitted_us: u64,
    pub answers: Vec<(u64, Answer)>,
    /// Whether the entry died with the caller's connection.
    pub is_cut_off: bool,
}

impl Caller {
    pub fn new(entry: usize, name: &str, tasks: usize, repeatable: bool) -> Self {
        Self {
            entry,
            bodies: (0..tasks).map(|n| format!("\"{name}/{n}\"")).collect(),
            repeatable,
            deadline_ms: 30_000,
            submission: None,
            submitted_us: 0,
            answers: Vec::new(),
            is_cut_off: false,
        }
    }

    pub fn submission(&self, submission: SubmissionId) -> Submission {
        Submission {
            id: submission,
            group: GROUP.parse().unwrap(),
            service: SERVICE.parse().unwrap(),
            tasks: self.bodies.iter().map(|body| raw(body)).collect(),
            deadline_ms: Some(Millis::new(self.deadline_ms)),
            terms: Terms {
                repeatable: self.repeatable,
                ..Terms::default()
            },
            objective_ms: None,
            max_failures: 1,
            constraints: Constraints::default(),
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

pub fn entry(index: usize, life: Incarnation) -> Entry {
    let identity = Identity {
        entry: format!("entry-{index}").parse().unwrap(),
        domain: "aba".parse().unwrap(),
        incarnation: life,
        lease: LeaseSettings::default(),
    };
    let mut entry = Entry::new(identity, life.get());
    entry.handle(Moment::default(), EntryEvent::Configured(config()));
    entry
}

pub fn agent(life: Incarnation) -> Agent {
    let mut agent = Agent::new(life, Millis::new(KEEP_RESULTS_MS));
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
