//! Cost of whole configurations and of changes to them.

use std::time::Duration;

use super::Recorder;
use super::cluster::Cluster;
use super::cluster::ClusterOptions;
use super::cluster::inventory;
use super::u64_to_f64;
use super::usize_to_f64;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const AGENTS: usize = 10;
const GROUPS: [usize; 4] = [50, 150, 300, 450];
const TARGETS: [usize; 4] = [300, 1_000, 2_000, 3_900];
const CHANGES_PER_STEP: [usize; 4] = [4, 4, 4, 4];
const FEW_GROUPS: usize = 10;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const CLUSTER_OPTIONS: ClusterOptions = ClusterOptions {
    agents: AGENTS,
    slots: 1,
    busy_renew_ms: 1_000,
    has_targets: false,
};

/// Numbers of agents that receive changes from one entry.
const NOTIFIED_AGENTS: [usize; 4] = [5, 10, 20, 40];
const CHANGES_PER_SIZE: u32 = 3;

/// Slopes that are measured together over the same size.
struct ConfigSlopes {
    x_label: &'static str,
    bytes: SlopeName,
    entry_memory: SlopeName,
    agent_memory: SlopeName,
}

const GROUP_SLOPES: ConfigSlopes = ConfigSlopes {
    x_label: "groups that list 300 of 3,900 targets",
    bytes: SlopeName::GroupBytes,
    entry_memory: SlopeName::EntryGroupMemoryBytes,
    agent_memory: SlopeName::AgentGroupMemoryBytes,
};
const TARGET_SLOPES: ConfigSlopes = ConfigSlopes {
    x_label: "targets, with 10 groups",
    bytes: SlopeName::TargetBytes,
    entry_memory: SlopeName::EntryTargetMemoryBytes,
    agent_memory: SlopeName::AgentTargetMemoryBytes,
};

pub(super) async fn configurations(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for targets in TARGETS {
        measure_first_config(slopes, &TARGET_SLOPES, (FEW_GROUPS, targets), targets).await?;
    }
    let max_targets = TARGETS[TARGETS.len() - 1];
    let mut largest = None;
    for groups in GROUPS {
        largest =
            Some(measure_first_config(slopes, &GROUP_SLOPES, (groups, max_targets), groups).await?);
    }
    match largest {
        Some(cluster) => measure_changes(slopes, &cluster).await,
        None => Ok(()),
    }
}

/// Measures the first configuration of a new cluster, which every agent receives whole.
async fn measure_first_config(
    slopes: &mut Slopes,
    config_slopes: &ConfigSlopes,
    (groups, targets): (usize, usize),
    size: usize,
) -> Result<Cluster, SlopesError> {
    let cluster = Cluster::start(CLUSTER_OPTIONS).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = cluster.session_relay.traffic();
    cluster.configure(&inventory(groups, targets)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let after = cluster.session_relay.traffic();
    let bytes = after.wire_bytes() - before.wire_bytes();
    let agents = usize_to_f64(AGENTS);
    let mut recorder = Recorder {
        slopes,
        x_label: config_slopes.x_label,
        x: usize_to_f64(size),
    };
    recorder.add(config_slopes.bytes, u64_to_f64(bytes) / agents);
    let entry = cluster.entry.usage()?.memory_bytes;
    recorder.add(config_slopes.entry_memory, u64_to_f64(entry));
    let memory = cluster.total_agent_usage()?.memory_bytes;
    recorder.add(config_slopes.agent_memory, u64_to_f64(memory) / agents);
    Ok(cluster)
}

/// Measures changes of the rules on top of the largest configuration. The points are cumulative
/// over the changes made so far.
async fn measure_changes(slopes: &mut Slopes, cluster: &Cluster) -> Result<(), SlopesError> {
    let (sessions_before, table_before) = (
        cluster.session_relay.traffic(),
        cluster.table_relay.traffic(),
    );
    let (objects_before, commits_before) = (
        cluster.object_relay.traffic(),
        cluster.platform.table.commits(),
    );
    let (entry_before, agents_before) = (cluster.entry.usage()?, cluster.total_agent_usage()?);
    let mut base: u32 = 1;
    for changes in CHANGES_PER_STEP {
        for _ in 0..changes {
            cluster.commit_rule_change(base.into()).await?;
            base += 1;
            tokio::time::sleep(SETTLE_TIME / 3).await;
        }
        let agents = usize_to_f64(AGENTS);
        let mut recorder = Recorder {
            slopes: &mut *slopes,
            x_label: "changes, 450 groups, 10 agents",
            x: f64::from(base - 1),
        };
        let bytes = cluster.session_relay.traffic().wire_bytes() - sessions_before.wire_bytes();
        recorder.add(SlopeName::ChangeBytes, u64_to_f64(bytes) / agents);
        let entry_usage = cluster.entry.usage()?;
        let entry_us = entry_usage.cpu_us - entry_before.cpu_us;
        recorder.add(SlopeName::EntryChangeUs, u64_to_f64(entry_us));
        let agents_us = cluster.total_agent_usage()?.cpu_us - agents_before.cpu_us;
        recorder.add(SlopeName::AgentChangeUs, u64_to_f64(agents_us) / agents);
        recorder.add(
            SlopeName::KeptVersionMemoryBytes,
            u64_to_f64(entry_usage.memory_bytes),
        );
        let total_reads =
            cluster.table_relay.traffic().reads + cluster.object_relay.traffic().reads;
        let reads = total_reads - table_before.reads - objects_before.reads;
        recorder.add(SlopeName::ChangeReads, u64_to_f64(reads));
        let commits = cluster.platform.table.commits() - commits_before;
        recorder.add(SlopeName::ChangeWrites, u64_to_f64(commits));
        let total_bytes = cluster.table_relay.traffic().wire_bytes()
            + cluster.object_relay.traffic().wire_bytes();
        let store_bytes = total_bytes - table_before.wire_bytes() - objects_before.wire_bytes();
        recorder.add(SlopeName::ChangeStoreBytes, u64_to_f64(store_bytes));
    }
    Ok(())
}

/// Measures the entry's CPU time of one change by the number of agents that receive it.
pub(super) async fn changes_by_agents(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for agents in NOTIFIED_AGENTS {
        let cluster = Cluster::start(ClusterOptions {
            agents,
            ..CLUSTER_OPTIONS
        })
        .await?;
        cluster.configure(&inventory(450, 3_900)).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = cluster.entry.usage()?.cpu_us;
        for change in 0..CHANGES_PER_SIZE {
            cluster.commit_rule_change((change + 1).into()).await?;
            tokio::time::sleep(SETTLE_TIME).await;
        }
        let used_us = cluster.entry.usage()?.cpu_us - before;
        let mut recorder = Recorder {
            slopes: &mut *slopes,
            x_label: "agents told, 450 groups",
            x: usize_to_f64(agents),
        };
        let per_change = u64_to_f64(used_us) / f64::from(CHANGES_PER_SIZE);
        recorder.add(SlopeName::EntryChangeAgentUs, per_change);
    }
    Ok(())
}
