//! Totals and the status page.

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
use super::job::millis;

/// Whether an entry is ready, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Submissions can be placed.
    Ready,
    /// No version of the configuration was ever held.
    NoConfig,
    /// No agent with a live target has a session.
    NoSession,
    /// A planned stop has begun.
    Stopping,
}

/// Totals since the start.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Messages sent to and reports received from agents.
    pub messages: u64,
    /// Tasks that ran.
    pub tasks_settled: u64,
    /// Busy time of each group, in microseconds.
    pub busy_us: BTreeMap<GroupId, u64>,
    mean_run_us: f64,
}

/// Weight of the newest run time in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Run time that is assumed before the first task has ended.
const FIRST_RUN_US: f64 = 200_000.0;

impl Totals {
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    pub(super) fn ran(&mut self, run_us: u64) {
        let mean = self.mean_run_us();
        self.tasks_settled += 1;
        self.mean_run_us = mean + MEAN_WEIGHT * (run_us as f64 - mean);
    }

    pub(super) fn charge(&mut self, group: &GroupId, run_us: u64) {
        *self.busy_us.entry(group.clone()).or_default() += run_us;
    }

    /// Moving mean of the run times.
    pub(super) fn mean_run_us(&self) -> f64 {
        if self.tasks_settled == 0 {
            FIRST_RUN_US
        } else {
            self.mean_run_us
        }
    }

    /// Time in which so many slots run so many tasks.
    pub(super) fn time_for(&self, tasks: f64, slots: f64) -> Millis {
        let slots = slots.max(1.0);
        millis(tasks * self.mean_run_us() / slots)
    }
}

impl Entry {
    /// Whether the balancer should send submissions here.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        if self.stopping {
            Readiness::Stopping
        } else if self.config.is_none() {
            Readiness::NoConfig
        } else if !self
            .agents
            .values()
            .any(|view| view.is_open && view.offer().is_some())
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

    /// What this entry sees; `config_age_ms` is known to the process only.
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
        // Each agent is counted by the one entry that brings it its configuration.
        let agents = self
            .agents
            .values()
            .filter(|v| v.takes_config)
            .map(|v| (&v.domain, v.version.unwrap_or_default()));
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
            queued: self.queue.tasks_of(&group.group).into(),
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
                placed: view.open_tasks().into(),
                ejected: self.ejection.is_ejected(agent, now),
                version: view.version,
                silent_ms: now.since(view.heard_at),
            }
        };
        self.agents.iter().map(status).collect()
    }
}
