//! Merges what several entries see.

use std::collections::BTreeMap;

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_wire::api::DomainStatus;
use dfs_wire::api::EntryStatus;
use dfs_wire::api::GroupStatus;
use dfs_wire::api::TargetStatus;
use serde::Serialize;

/// What all entries see together.
#[derive(Debug, Serialize)]
pub struct Merged {
    /// The entries themselves.
    pub entries: Vec<EntrySummary>,
    /// Lowest and highest version of each failure domain. Several entries see the same agents,
    /// so `processes` is the highest count that one entry sees.
    pub domains: Vec<DomainStatus>,
    /// Sums over the entries.
    pub groups: Vec<GroupStatus>,
    /// Each agent once, with the sum of the tasks placed there.
    pub targets: Vec<TargetSummary>,
}

/// One entry.
#[derive(Debug, Serialize)]
pub struct EntrySummary {
    /// Its name.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Version in force there.
    pub version: Option<ConfigVersion>,
    /// Time since the table service last confirmed the head version.
    pub config_age_ms: Option<Millis>,
    /// Whether it takes submissions.
    pub ready: bool,
    /// Open submissions.
    pub open_submissions: u64,
    /// Messages to and from agents since its start.
    pub session_messages: u64,
    /// Tasks settled since its start.
    pub tasks_settled: u64,
}

/// One target as seen by all entries.
#[derive(Debug, Serialize)]
pub struct TargetSummary {
    /// The view of the entry that heard the agent last, with `placed` summed up.
    #[serde(flatten)]
    pub target: TargetStatus,
    /// Entries with a session to its agent.
    pub sessions: u64,
    /// Entries that set it aside.
    pub ejected_by: u64,
}

/// Merges the views.
#[must_use]
pub fn merge(seen: Vec<EntryStatus>) -> Merged {
    Merged {
        domains: domains(&seen),
        groups: groups(&seen),
        targets: targets(&seen),
        entries: seen.into_iter().map(summary).collect(),
    }
}

fn summary(status: EntryStatus) -> EntrySummary {
    EntrySummary {
        entry: status.entry,
        domain: status.domain,
        version: status.version,
        config_age_ms: status.config_age_ms,
        ready: status.ready,
        open_submissions: status.open_submissions,
        session_messages: status.session_messages,
        tasks_settled: status.tasks_settled,
    }
}

fn domains(seen: &[EntryStatus]) -> Vec<DomainStatus> {
    let mut merged: BTreeMap<&FailureDomain, DomainStatus> = BTreeMap::new();
    for domain in seen.iter().flat_map(|status| &status.domains) {
        let sum = merged
            .entry(&domain.domain)
            .or_insert_with(|| domain.clone());
        sum.lowest = sum.lowest.min(domain.lowest);
        sum.highest = sum.highest.max(domain.highest);
        sum.processes = sum.processes.max(domain.processes);
    }
    merged.into_values().collect()
}

fn groups(seen: &[EntryStatus]) -> Vec<GroupStatus> {
    let mut merged: BTreeMap<&GroupId, GroupStatus> = BTreeMap::new();
    for group in seen.iter().flat_map(|status| &status.groups) {
        merged
            .entry(&group.group)
            .and_modify(|sum| {
                sum.queued += group.queued;
                sum.placed += group.placed;
                sum.busy_ms += group.busy_ms;
            })
            .or_insert_with(|| group.clone());
    }
    merged.into_values().collect()
}

fn targets(seen: &[EntryStatus]) -> Vec<TargetSummary> {
    let mut merged: BTreeMap<&AgentId, TargetSummary> = BTreeMap::new();
    for target in seen.iter().flat_map(|status| &status.targets) {
        let ejected_by = u64::from(target.ejected);
        merged
            .entry(&target.agent)
            .and_modify(|sum| add(sum, target))
            .or_insert_with(|| TargetSummary {
                target: target.clone(),
                sessions: 1,
                ejected_by,
            });
    }
    merged.into_values().collect()
}

fn add(sum: &mut TargetSummary, target: &TargetStatus) {
    let placed = sum.target.placed + target.placed;
    let ejected = sum.target.ejected || target.ejected;
    if target.silent_ms < sum.target.silent_ms {
        sum.target = target.clone();
    }
    sum.target.placed = placed;
    sum.target.ejected = ejected;
    sum.sessions += 1;
    sum.ejected_by += u64::from(target.ejected);
}
