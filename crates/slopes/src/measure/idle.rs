//! Sessions without tasks, and bare renewals.

use std::time::Duration;

use dfs_agent::Agent;
use dfs_entry::Entry;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use serde_json::json;
use snafu::ResultExt;

use super::Sample;
use super::cluster::Cluster;
use super::cluster::SERVICE;
use super::cluster::Shape;
use super::cluster::agent_settings;
use super::cluster::entry_settings;
use super::cluster::inventory;
use super::cluster::parse;
use super::daemon::Daemon;
use super::float;
use super::size_float;
use super::window;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;
use crate::error::AgentSnafu;
use crate::error::EntrySnafu;
use crate::error::MetricsSnafu;
use crate::error::StartSnafu;

const RENEWING_AGENTS: usize = 20;
const RENEW_MS: [u64; 4] = [1_000, 400, 200, 100];
const ENTRY_SESSIONS: [usize; 4] = [25, 50, 100, 200];
const AGENT_SESSIONS: [usize; 4] = [1, 8, 16, 32];
const NO_AGENTS: Shape = Shape {
    agents: 0,
    slots: 1,
    busy_renew_ms: 1_000,
    has_targets: false,
};
const ATTACH: Duration = Duration::from_secs(2);
const SETTLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(10);
const IDLE_WINDOW: Duration = Duration::from_mins(1);

/// Agents that hold one long task each renew at a fixed interval.
pub(super) async fn renewals(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for busy_renew_ms in RENEW_MS {
        let shape = Shape {
            agents: RENEWING_AGENTS,
            slots: 1,
            busy_renew_ms,
            has_targets: true,
        };
        let cluster = Cluster::start(shape).await?;
        cluster.configure(&inventory(1, RENEWING_AGENTS)).await?;
        let tasks = vec![json!({ "run_ms": 600_000 }); RENEWING_AGENTS];
        let job = json!({ "service": SERVICE, "tasks": tasks, "deadline_ms": 600_000 });
        let submitted = cluster.submit("/v1/jobs", &job);
        let measured = measure_renewals(&cluster, slopes);
        // The job outlives the measurement.
        futures::future::select(Box::pin(measured), Box::pin(submitted))
            .await
            .factor_first()
            .0?;
    }
    Ok(())
}

async fn measure_renewals(
    cluster: &Cluster,
    slopes: &mut Slopes,
) -> Result<serde_json::Value, SlopesError> {
    tokio::time::sleep(SETTLE).await;
    let (before, entry, agents) = (
        cluster.sessions.passed(),
        cluster.entry.usage()?,
        cluster.agents_usage()?,
    );
    let seconds = window(WINDOW).await;
    let after = cluster.sessions.passed();
    let entry_us = cluster.entry.usage()?.processor_us - entry.processor_us;
    let agents_us = cluster.agents_usage()?.processor_us - agents.processor_us;
    let mut sample = Sample {
        slopes,
        size: "renewals/s, 20 agents",
        x: float(after.up_messages - before.up_messages) / seconds,
    };
    let bytes = after.wire_bytes() - before.wire_bytes();
    sample.add(SlopeName::RenewalBytes, float(bytes) / seconds);
    sample.add(SlopeName::EntryRenewalUs, float(entry_us) / seconds);
    sample.add(SlopeName::AgentRenewalUs, float(agents_us) / seconds);
    Ok(serde_json::Value::Null)
}

/// Embedded agents without targets at one entry.
pub(super) async fn entry_sessions(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in ENTRY_SESSIONS {
        let cluster = Cluster::start(NO_AGENTS).await?;
        cluster.configure(&inventory(1, sessions)).await?;
        let agents = start_agents(&cluster, sessions).await?;
        tokio::time::sleep(SETTLE).await;
        let (before, usage) = (cluster.sessions.passed(), cluster.entry.usage()?);
        let seconds = window(IDLE_WINDOW).await;
        let after = cluster.sessions.passed();
        let used = cluster.entry.usage()?;
        let mut sample = Sample {
            slopes,
            size: "sessions of the entry",
            x: size_float(sessions),
        };
        let bytes = after.wire_bytes() - before.wire_bytes();
        let used_us = used.processor_us - usage.processor_us;
        sample.add(SlopeName::EntryIdleBytes, float(bytes) / seconds);
        sample.add(SlopeName::EntrySessionUs, float(used_us) / seconds);
        let memory = float(used.memory_bytes);
        sample.add(SlopeName::EntrySessionMemoryBytes, memory);
        // Their background tasks are ended, so that the next size starts alone.
        stop_all(agents).await;
    }
    Ok(())
}

/// Embedded agents attach to an entry that has no configuration to tell them.
pub(super) async fn attach(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in ENTRY_SESSIONS {
        let cluster = Cluster::start(NO_AGENTS).await?;
        let before = cluster.entry.usage()?;
        let agents = start_agents(&cluster, sessions).await?;
        tokio::time::sleep(ATTACH).await;
        let used = cluster.entry.usage()?;
        let mut sample = Sample {
            slopes: &mut *slopes,
            size: "sessions opened",
            x: size_float(sessions),
        };
        let bytes = cluster.sessions.passed().wire_bytes();
        sample.add(SlopeName::AttachBytes, float(bytes));
        let attach_us = used.processor_us - before.processor_us;
        sample.add(SlopeName::AttachUs, float(attach_us));
        stop_all(agents).await;
    }
    Ok(())
}

async fn start_agents(cluster: &Cluster, count: usize) -> Result<Vec<Agent>, SlopesError> {
    let mut agents = Vec::new();
    for number in 0..count {
        let settings = parse(agent_settings(number, &[cluster.sessions.address]))?;
        let metrics = metrics(&ProcessName::Agent(parse(json!("agent"))?))?;
        agents.push(Agent::start(settings, metrics).await.context(AgentSnafu)?);
    }
    Ok(agents)
}

async fn stop_all(agents: Vec<Agent>) {
    let stops = agents
        .into_iter()
        .map(|agent| agent.stop(std::future::pending()));
    futures::future::join_all(stops).await;
}

/// One agent with sessions to embedded entries.
pub(super) async fn agent_sessions(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in AGENT_SESSIONS {
        let files = tempfile::tempdir().context(StartSnafu)?;
        let platform = Platform::spawn().await.context(StartSnafu)?;
        let at = platform.addresses();
        let mut entries = Vec::new();
        for number in 0..sessions {
            let settings = entry_settings(number, at.table_address, at.object_address);
            let metrics = metrics(&ProcessName::Entry(parse(json!("entry"))?))?;
            let entry = Entry::start(parse(settings)?, metrics);
            entries.push(entry.await.context(EntrySnafu)?);
        }
        let addresses: Vec<_> = entries.iter().map(|e| e.session_address).collect();
        let settings = agent_settings(0, &addresses);
        let agent = Daemon::spawn("agent", "agent-0", &settings, files.path())?;
        tokio::time::sleep(SETTLE).await;
        let before = agent.usage()?;
        let seconds = window(WINDOW).await;
        let used = agent.usage()?;
        let mut sample = Sample {
            slopes,
            size: "sessions of the agent",
            x: size_float(sessions),
        };
        let used_us = used.processor_us - before.processor_us;
        sample.add(SlopeName::AgentSessionUs, float(used_us) / seconds);
        let memory = float(used.memory_bytes);
        sample.add(SlopeName::AgentSessionMemoryBytes, memory);
        drop(agent);
        futures::future::join_all(
            entries
                .into_iter()
                .map(|entry| entry.stop(std::future::pending())),
        )
        .await;
    }
    Ok(())
}

pub(super) fn metrics(process: &ProcessName) -> Result<Metrics, SlopesError> {
    Metrics::new(None, process).context(MetricsSnafu)
}
