//! Readiness, totals and status of an entry.

use std::collections::BTreeMap;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_wire::api::DomainStatus;
use dfs_wire::api::EntryStatus;
use dfs_wire::api::GroupStatus;
use dfs_wire::api::TargetStatus;

use super::Entry;
use super::job::Job;
use super::job::TaskState;
use super::job::millis_from_micros;

/// Whether an entry can place submissions, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// At least one agent with a target that is live or evacuated has an open session.
    Ready,
    /// No configuration has been received since the start.
    NoConfig,
    /// No agent with a live target has an open session.
    NoSession,
    /// Graceful shutdown has begun.
    ShuttingDown,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Number of messages sent to and reports received from agents.
    pub messages: u64,
    /// Number of runs that have ended, successfully or not.
    pub tasks_settled: u64,
    /// Total run time of the tasks of each group, in microseconds.
    pub busy_us: BTreeMap<GroupId, u64>,
    mean_run_us: f64,
}

/// Weight of the latest run time in the moving mean.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Mean run time assumed before the first result.
const INITIAL_RUN_US: f64 = 200_000.0;

impl Totals {
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    pub(super) fn record_run(&mut self, run_us: u64) {
        let mean = self.mean_run_us();
        self.tasks_settled += 1;
        self.mean_run_us = mean + RUN_TIME_WEIGHT * (run_us as f64 - mean);
    }

    pub(super) fn charge(&mut self, group: &GroupId, run_us: u64) {
        *self.busy_us.entry(group.clone()).or_default() += run_us;
    }

    /// Exponential moving mean of run times, over all services.
    pub(super) fn mean_run_us(&self) -> f64 {
        if self.tasks_settled == 0 {
            INITIAL_RUN_US
        } else {
            self.mean_run_us
        }
    }

    /// Expected time in which a number of slots run a number of tasks.
    pub(super) fn time_to_run(&self, tasks: f64, slots: f64) -> Millis {
        let slots = slots.max(1.0);
        millis_from_micros(tasks * self.mean_run_us() / slots)
    }
}

impl Entry {
    /// Whether load balancers should send submissions to this entry.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        if self.is_shutting_down {
            Readiness::ShuttingDown
        } else if self.config.is_none() {
            Readiness::NoConfig
        } else if !self
            .agents
            .values()
            .any(|view| view.is_session_open && (view.offer().is_some() || view.is_evacuated))
        {
            Readiness::NoSession
        } else {
            Readiness::Ready
        }
    }

    /// Number of open submissions of a queue of which no task is placed.
    #[must_use]
    pub fn unplaced_submissions(&self, queue: &QueueName) -> u64 {
        let is_unplaced =
            |job: &&Job| job.queue.as_ref() == Some(queue) && job.pending.len() == job.tasks.len();
        self.jobs.values().filter(is_unplaced).count() as u64
    }

    /// Status as seen by this entry. `config_age_ms` is left empty for the process to fill in.
    #[must_use]
    pub fn status(&self, now: Moment) -> EntryStatus {
        EntryStatus {
            entry: self.identity.entry.clone(),
            domain: self.identity.domain.clone(),
            version: self.config.as_ref().map(|config| config.version),
            config_age_ms: None,
            ready: self.readiness() == Readiness::Ready,
            open_submissions: self.jobs.len() as u64,
            session_messages: self.totals.messages,
            tasks_settled: self.totals.tasks_settled,
            domains: self.domain_statuses(),
            groups: self.group_statuses(),
            targets: self.target_statuses(now),
        }
    }

    fn domain_statuses(&self) -> Vec<DomainStatus> {
        let own = self
            .config
            .as_ref()
            .map(|config| config.version)
            .unwrap_or_default();
        // Each agent is counted only by the entry that is its configuration source.
        let agents = self
            .agents
            .values()
            .filter(|v| v.is_config_client)
            .map(|v| (&v.domain, v.config_version.unwrap_or_default()));
        let mut versions: BTreeMap<&FailureDomain, Vec<ConfigVersion>> = BTreeMap::new();
        for (domain, version) in agents.chain([(&self.identity.domain, own)]) {
            versions.entry(domain).or_default().push(version);
        }
        let status = |(domain, versions): (&FailureDomain, Vec<ConfigVersion>)| DomainStatus {
            domain: domain.clone(),
            lowest: versions.iter().min().copied().unwrap_or_default(),
            highest: versions.iter().max().copied().unwrap_or_default(),
            processes: versions.len() as u64,
        };
        versions.into_iter().map(status).collect()
    }

    fn group_statuses(&self) -> Vec<GroupStatus> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let placed = self.placed_by_group();
        let status = |group: &dfs_conf::Group| GroupStatus {
            group: group.group.clone(),
            share: group.share,
            queued: self.queue.group_task_count(&group.group).into(),
            placed: placed.get(&group.group).copied().unwrap_or_default(),
            busy_ms: self
                .totals
                .busy_us
                .get(&group.group)
                .copied()
                .unwrap_or_default()
                / 1_000,
        };
        config.inventory.groups.iter().map(status).collect()
    }

    fn placed_by_group(&self) -> BTreeMap<&GroupId, u64> {
        let mut placed = BTreeMap::new();
        for job in self.jobs.values() {
            let is_placed = |t: &&super::job::Task| matches!(t.state, TaskState::Placed { .. });
            let count = job.tasks.iter().filter(is_placed).count() as u64;
            *placed.entry(&job.group).or_default() += count;
        }
        placed
    }

    fn target_statuses(&self, now: Moment) -> Vec<TargetStatus> {
        let status = |(agent, view): (&dfs_ids::AgentId, &super::view::AgentView)| {
            let offer = view.offer();
            TargetStatus {
                target: offer.map(|offer| offer.target.clone()),
                agent: agent.clone(),
                domain: view.domain.clone(),
                services: offer
                    .map(|offer| offer.services.clone())
                    .unwrap_or_default(),
                slots: offer.map(|offer| offer.slots).unwrap_or_default(),
                placed: view.outstanding_tasks().into(),
                ejected: self.ejection.is_ejected(agent, now),
                version: view.config_version,
                silent_ms: now.since(view.last_heard_at),
            }
        };
        self.agents.iter().map(status).collect()
    }
}
