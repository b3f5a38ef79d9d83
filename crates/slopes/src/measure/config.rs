//! Whole configurations and changes.

use std::time::Duration;

use super::Sample;
use super::cluster::Cluster;
use super::cluster::Shape;
use super::cluster::inventory;
use super::float;
use super::size_float;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const AGENTS: usize = 10;
const GROUPS: [usize; 4] = [50, 150, 300, 450];
const TARGETS: [usize; 4] = [300, 1_000, 2_000, 3_900];
const CHANGES: [usize; 4] = [4, 4, 4, 4];
const FEW_GROUPS: usize = 10;
const SETTLE: Duration = Duration::from_secs(3);
const SHAPE: Shape = Shape {
    agents: AGENTS,
    slots: 1,
    busy_renew_ms: 1_000,
    has_targets: false,
};

/// Agents that take changes from one entry.
const SOURCES: [usize; 4] = [5, 10, 20, 40];
const CHANGES_EACH: u32 = 3;

/// Slopes of bytes and memory over one size.
struct Names {
    size: &'static str,
    bytes: SlopeName,
    entry_memory: SlopeName,
    agent_memory: SlopeName,
}

const GROUP_NAMES: Names = Names {
    size: "groups that list 300 of 3,900 targets",
    bytes: SlopeName::GroupBytes,
    entry_memory: SlopeName::EntryGroupMemoryBytes,
    agent_memory: SlopeName::AgentGroupMemoryBytes,
};
const TARGET_NAMES: Names = Names {
    size: "targets, with 10 groups",
    bytes: SlopeName::TargetBytes,
    entry_memory: SlopeName::EntryTargetMemoryBytes,
    agent_memory: SlopeName::AgentTargetMemoryBytes,
};

pub(super) async fn config(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for targets in TARGETS {
        whole(slopes, &TARGET_NAMES, (FEW_GROUPS, targets), targets).await?;
    }
    let most = TARGETS[TARGETS.len() - 1];
    let mut last = None;
    for groups in GROUPS {
        last = Some(whole(slopes, &GROUP_NAMES, (groups, most), groups).await?);
    }
    match last {
        Some(cluster) => changes(slopes, &cluster).await,
        None => Ok(()),
    }
}

/// The first configuration of a new cluster.
async fn whole(
    slopes: &mut Slopes,
    names: &Names,
    (groups, targets): (usize, usize),
    size: usize,
) -> Result<Cluster, SlopesError> {
    let cluster = Cluster::start(SHAPE).await?;
    tokio::time::sleep(SETTLE).await;
    let before = cluster.sessions.passed();
    cluster.configure(&inventory(groups, targets)).await?;
    tokio::time::sleep(SETTLE).await;
    let after = cluster.sessions.passed();
    let bytes = after.wire_bytes() - before.wire_bytes();
    let agents = size_float(AGENTS);
    let mut sample = Sample {
        slopes,
        size: names.size,
        x: size_float(size),
    };
    sample.add(names.bytes, float(bytes) / agents);
    let entry = cluster.entry.usage()?.memory_bytes;
    sample.add(names.entry_memory, float(entry));
    let memory = cluster.agents_usage()?.memory_bytes;
    sample.add(names.agent_memory, float(memory) / agents);
    Ok(cluster)
}

/// Changes of the rules on top of the largest configuration.
async fn changes(slopes: &mut Slopes, cluster: &Cluster) -> Result<(), SlopesError> {
    let (sessions, table) = (cluster.sessions.passed(), cluster.table.passed());
    let (objects, writes) = (cluster.objects.passed(), cluster.platform.table.commits());
    let (entry, agents) = (cluster.entry.usage()?, cluster.agents_usage()?);
    let mut base: u32 = 1;
    for step in CHANGES {
        for _ in 0..step {
            cluster.change_rules(base.into()).await?;
            base += 1;
            tokio::time::sleep(SETTLE / 3).await;
        }
        let per_agent = size_float(AGENTS);
        let mut sample = Sample {
            slopes: &mut *slopes,
            size: "changes, 450 groups, 10 agents",
            x: f64::from(base - 1),
        };
        let bytes = cluster.sessions.passed().wire_bytes() - sessions.wire_bytes();
        sample.add(SlopeName::ChangeBytes, float(bytes) / per_agent);
        let used = cluster.entry.usage()?;
        let entry_us = used.processor_us - entry.processor_us;
        sample.add(SlopeName::EntryChangeUs, float(entry_us));
        let agents_us = cluster.agents_usage()?.processor_us - agents.processor_us;
        sample.add(SlopeName::AgentChangeUs, float(agents_us) / per_agent);
        sample.add(SlopeName::KeptVersionMemoryBytes, float(used.memory_bytes));
        let read = cluster.table.passed().reads + cluster.objects.passed().reads;
        let reads = read - table.reads - objects.reads;
        sample.add(SlopeName::ChangeReads, float(reads));
        let written = cluster.platform.table.commits() - writes;
        sample.add(SlopeName::ChangeWrites, float(written));
        let bytes = cluster.table.passed().wire_bytes() + cluster.objects.passed().wire_bytes();
        let store_bytes = bytes - table.wire_bytes() - objects.wire_bytes();
        sample.add(SlopeName::ChangeStoreBytes, float(store_bytes));
    }
    Ok(())
}

/// Processor time of one change by the number of agents that are told.
pub(super) async fn change_agents(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for agents in SOURCES {
        let cluster = Cluster::start(Shape { agents, ..SHAPE }).await?;
        cluster.configure(&inventory(450, 3_900)).await?;
        tokio::time::sleep(SETTLE).await;
        let before = cluster.entry.usage()?.processor_us;
        for change in 0..CHANGES_EACH {
            cluster.change_rules((change + 1).into()).await?;
            tokio::time::sleep(SETTLE).await;
        }
        let used = cluster.entry.usage()?.processor_us - before;
        let mut sample = Sample {
            slopes: &mut *slopes,
            size: "agents told, 450 groups",
            x: size_float(agents),
        };
        let of_one = float(used) / f64::from(CHANGES_EACH);
        sample.add(SlopeName::EntryChangeAgentUs, of_one);
    }
    Ok(())
}
