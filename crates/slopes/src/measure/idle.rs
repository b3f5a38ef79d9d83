//! Cost of idle sessions, of opening sessions, and of renewals that carry nothing else.

use std::time::Duration;

use dfs_agent::Agent;
use dfs_entry::Entry;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use serde_json::json;
use snafu::ResultExt;

use super::Recorder;
use super::cluster::Cluster;
use super::cluster::ClusterOptions;
use super::cluster::SERVICE;
use super::cluster::agent_settings;
use super::cluster::entry_settings;
use super::cluster::from_json;
use super::cluster::inventory;
use super::daemon::Daemon;
use super::sleep_measured;
use super::u64_to_f64;
use super::usize_to_f64;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;
use crate::error::AgentStartSnafu;
use crate::error::EntryStartSnafu;
use crate::error::MetricsSnafu;
use crate::error::SetupSnafu;

const RENEWING_AGENTS: usize = 20;
const RENEW_INTERVALS_MS: [u64; 4] = [1_000, 400, 200, 100];
const ENTRY_SESSIONS: [usize; 4] = [25, 50, 100, 200];
const AGENT_SESSIONS: [usize; 4] = [1, 8, 16, 32];
const NO_AGENTS: ClusterOptions = ClusterOptions {
    agents: 0,
    slots: 1,
    busy_renew_ms: 1_000,
    has_targets: false,
};
const ATTACH_WAIT: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(10);
const IDLE_WINDOW: Duration = Duration::from_mins(1);

/// Measures renewals of agents that each run one long task, which makes them renew at a fixed
/// interval.
pub(super) async fn renewals(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for busy_renew_ms in RENEW_INTERVALS_MS {
        let options = ClusterOptions {
            agents: RENEWING_AGENTS,
            slots: 1,
            busy_renew_ms,
            has_targets: true,
        };
        let cluster = Cluster::start(options).await?;
        cluster.configure(&inventory(1, RENEWING_AGENTS)).await?;
        let tasks = vec![json!({ "run_ms": 600_000 }); RENEWING_AGENTS];
        let job = json!({ "service": SERVICE, "tasks": tasks, "deadline_ms": 600_000 });
        let submitted = cluster.submit("/v1/jobs", &job);
        let measured = measure_renewals(&cluster, slopes);
        // The job's deadline is later than the end of the measurement, which therefore finishes
        // first.
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
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, entry_before, agents_before) = (
        cluster.session_relay.traffic(),
        cluster.entry.usage()?,
        cluster.total_agent_usage()?,
    );
    let seconds = sleep_measured(WINDOW).await;
    let after = cluster.session_relay.traffic();
    let entry_us = cluster.entry.usage()?.cpu_us - entry_before.cpu_us;
    let agents_us = cluster.total_agent_usage()?.cpu_us - agents_before.cpu_us;
    let mut recorder = Recorder {
        slopes,
        x_label: "renewals/s, 20 agents",
        x: u64_to_f64(after.client_messages - before.client_messages) / seconds,
    };
    let bytes = after.wire_bytes() - before.wire_bytes();
    recorder.add(SlopeName::RenewalBytes, u64_to_f64(bytes) / seconds);
    recorder.add(SlopeName::EntryRenewalUs, u64_to_f64(entry_us) / seconds);
    recorder.add(SlopeName::AgentRenewalUs, u64_to_f64(agents_us) / seconds);
    Ok(serde_json::Value::Null)
}

/// Measures idle sessions at one entry, with agents embedded in this process and without targets.
pub(super) async fn entry_sessions(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in ENTRY_SESSIONS {
        let cluster = Cluster::start(NO_AGENTS).await?;
        cluster.configure(&inventory(1, sessions)).await?;
        let agents = start_agents(&cluster, sessions).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let (before, usage_before) = (cluster.session_relay.traffic(), cluster.entry.usage()?);
        let seconds = sleep_measured(IDLE_WINDOW).await;
        let after = cluster.session_relay.traffic();
        let usage = cluster.entry.usage()?;
        let mut recorder = Recorder {
            slopes,
            x_label: "sessions of the entry",
            x: usize_to_f64(sessions),
        };
        let bytes = after.wire_bytes() - before.wire_bytes();
        let used_us = usage.cpu_us - usage_before.cpu_us;
        recorder.add(SlopeName::EntryIdleBytes, u64_to_f64(bytes) / seconds);
        recorder.add(SlopeName::EntrySessionUs, u64_to_f64(used_us) / seconds);
        let memory = u64_to_f64(usage.memory_bytes);
        recorder.add(SlopeName::EntrySessionMemoryBytes, memory);
        // Otherwise the background tasks of these agents would run on during the next measurement.
        stop_all(agents).await;
    }
    Ok(())
}

/// Measures opening sessions at an entry that has no configuration yet, so that none is sent with
/// them.
pub(super) async fn attach(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in ENTRY_SESSIONS {
        let cluster = Cluster::start(NO_AGENTS).await?;
        let before = cluster.entry.usage()?;
        let agents = start_agents(&cluster, sessions).await?;
        tokio::time::sleep(ATTACH_WAIT).await;
        let usage = cluster.entry.usage()?;
        let mut recorder = Recorder {
            slopes: &mut *slopes,
            x_label: "sessions opened",
            x: usize_to_f64(sessions),
        };
        let bytes = cluster.session_relay.traffic().wire_bytes();
        recorder.add(SlopeName::AttachBytes, u64_to_f64(bytes));
        let attach_us = usage.cpu_us - before.cpu_us;
        recorder.add(SlopeName::AttachUs, u64_to_f64(attach_us));
        stop_all(agents).await;
    }
    Ok(())
}

async fn start_agents(cluster: &Cluster, count: usize) -> Result<Vec<Agent>, SlopesError> {
    let mut agents = Vec::new();
    for number in 0..count {
        let settings = from_json(agent_settings(number, &[cluster.session_relay.address]))?;
        let metrics = metrics(&ProcessName::Agent(from_json(json!("agent"))?))?;
        agents.push(
            Agent::start(settings, metrics)
                .await
                .context(AgentStartSnafu)?,
        );
    }
    Ok(agents)
}

async fn stop_all(agents: Vec<Agent>) {
    let stops = agents
        .into_iter()
        .map(|agent| agent.stop(std::future::pending()));
    futures::future::join_all(stops).await;
}

/// Measures idle sessions of one agent, with entries embedded in this process.
pub(super) async fn agent_sessions(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for sessions in AGENT_SESSIONS {
        let work_dir = tempfile::tempdir().context(SetupSnafu)?;
        let platform = Platform::spawn().await.context(SetupSnafu)?;
        let addresses = platform.addresses();
        let mut entries = Vec::new();
        for number in 0..sessions {
            let settings =
                entry_settings(number, addresses.table_address, addresses.object_address);
            let metrics = metrics(&ProcessName::Entry(from_json(json!("entry"))?))?;
            let entry = Entry::start(from_json(settings)?, metrics);
            entries.push(entry.await.context(EntryStartSnafu)?);
        }
        let addresses: Vec<_> = entries.iter().map(|e| e.session_address).collect();
        let settings = agent_settings(0, &addresses);
        let agent = Daemon::spawn("agent", "agent-0", &settings, work_dir.path())?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = agent.usage()?;
        let seconds = sleep_measured(WINDOW).await;
        let usage = agent.usage()?;
        let mut recorder = Recorder {
            slopes,
            x_label: "sessions of the agent",
            x: usize_to_f64(sessions),
        };
        let used_us = usage.cpu_us - before.cpu_us;
        recorder.add(SlopeName::AgentSessionUs, u64_to_f64(used_us) / seconds);
        let memory = u64_to_f64(usage.memory_bytes);
        recorder.add(SlopeName::AgentSessionMemoryBytes, memory);
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
