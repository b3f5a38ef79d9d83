//! Merges the statuses of several entries into one view.

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

/// Merged status of the entries that replied; serialized for `--output json`.
#[derive(Debug, Serialize)]
pub struct MergedStatus {
    /// One summary for each entry, in the order of the command line.
    pub entries: Vec<EntrySummary>,
    /// Lowest and highest version in each failure domain. Several entries count the same agents, so
    /// `processes` is the highest count of any entry, not the sum.
    pub domains: Vec<DomainStatus>,
    /// Queued and placed tasks and busy time of each group, summed over the entries.
    pub groups: Vec<GroupStatus>,
    /// One summary for each agent.
    pub targets: Vec<TargetSummary>,
}

/// What an entry reports about itself.
#[derive(Debug, Serialize)]
pub struct EntrySummary {
    /// Id of the entry.
    pub entry: EntryId,
    /// Failure domain in which it runs.
    pub domain: FailureDomain,
    /// Version of the configuration in force at the entry, `None` if it has none yet.
    pub version: Option<ConfigVersion>,
    /// Time since the table service last confirmed the head version.
    pub config_age_ms: Option<Millis>,
    /// Whether the entry accepts submissions.
    pub ready: bool,
    /// Submissions that are not yet answered.
    pub open_submissions: u64,
    /// Messages to and from agents since the entry started.
    pub session_messages: u64,
    /// Task runs that ended, successfully or not, since the entry started.
    pub tasks_settled: u64,
}

/// One agent and its target, merged over all entries.
#[derive(Debug, Serialize)]
pub struct TargetSummary {
    /// Status from the entry that heard from the agent most recently; `placed` is summed over the
    /// entries, and `ejected` is set if any entry ejected the target.
    #[serde(flatten)]
    pub target: TargetStatus,
    /// Number of entries with a session to the agent.
    pub sessions: u64,
    /// Number of entries that ejected the target.
    pub ejected_by: u64,
}

/// Merges the statuses, one for each entry.
#[must_use]
pub fn merge(statuses: Vec<EntryStatus>) -> MergedStatus {
    MergedStatus {
        domains: domains(&statuses),
        groups: groups(&statuses),
        targets: targets(&statuses),
        entries: statuses.into_iter().map(summary).collect(),
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

fn domains(statuses: &[EntryStatus]) -> Vec<DomainStatus> {
    let mut merged: BTreeMap<&FailureDomain, DomainStatus> = BTreeMap::new();
    for domain in statuses.iter().flat_map(|status| &status.domains) {
        let combined = merged
            .entry(&domain.domain)
            .or_insert_with(|| domain.clone());
        combined.lowest = combined.lowest.min(domain.lowest);
        combined.highest = combined.highest.max(domain.highest);
        combined.processes = combined.processes.max(domain.processes);
    }
    merged.into_values().collect()
}

fn groups(statuses: &[EntryStatus]) -> Vec<GroupStatus> {
    let mut merged: BTreeMap<&GroupId, GroupStatus> = BTreeMap::new();
    for group in statuses.iter().flat_map(|status| &status.groups) {
        merged
            .entry(&group.group)
            .and_modify(|total| {
                total.queued += group.queued;
                total.placed += group.placed;
                total.busy_ms += group.busy_ms;
            })
            .or_insert_with(|| group.clone());
    }
    merged.into_values().collect()
}

fn targets(statuses: &[EntryStatus]) -> Vec<TargetSummary> {
    let mut merged: BTreeMap<&AgentId, TargetSummary> = BTreeMap::new();
    for target in statuses.iter().flat_map(|status| &status.targets) {
        let ejected_by = u64::from(target.ejected);
        merged
            .entry(&target.agent)
            .and_modify(|total| add_target(total, target))
            .or_insert_with(|| TargetSummary {
                target: target.clone(),
                sessions: 1,
                ejected_by,
            });
    }
    merged.into_values().collect()
}

fn add_target(total: &mut TargetSummary, target: &TargetStatus) {
    let placed = total.target.placed + target.placed;
    let ejected = total.target.ejected || target.ejected;
    if target.silent_ms < total.target.silent_ms {
        total.target = target.clone();
    }
    total.target.placed = placed;
    total.target.ejected = ejected;
    total.sessions += 1;
    total.ejected_by += u64::from(target.ejected);
}
