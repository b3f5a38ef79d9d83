//! Cost of single requests, of tasks in jobs, and of open tasks.

use std::time::Duration;

use futures::StreamExt;
use futures::TryStreamExt;
use serde_json::Value;
use serde_json::json;

use super::Recorder;
use super::cluster::Cluster;
use super::cluster::ClusterOptions;
use super::cluster::SERVICE;
use super::cluster::inventory;
use super::u64_to_f64;
use super::usize_to_f64;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const TASKS_PER_JOB: usize = 320;
const TASK_BODY_BYTES: usize = 200;
const REQUESTS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];
const JOBS: [usize; 4] = [10, 20, 40, 80];
const OPEN_JOBS: [usize; 4] = [8, 16, 32, 48];
const CONCURRENT_REQUESTS: usize = 32;
const CONCURRENT_JOBS: usize = 4;
const WARM_UP_REQUESTS: usize = 500;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const CLUSTER_OPTIONS: ClusterOptions = ClusterOptions {
    agents: 8,
    slots: 8,
    busy_renew_ms: 1_000,
    has_targets: true,
};

/// Kind of submission.
#[derive(Debug, Clone, Copy)]
enum Workload {
    Requests,
    Jobs,
}

impl Workload {
    const fn path(self) -> &'static str {
        match self {
            Self::Requests => "/v1/requests",
            Self::Jobs => "/v1/jobs",
        }
    }

    fn body(self) -> Value {
        match self {
            Self::Requests => json!({ "service": SERVICE, "body": task_body(0) }),
            Self::Jobs => json!({ "service": SERVICE, "tasks": vec![task_body(0); TASKS_PER_JOB] }),
        }
    }

    const fn tasks_per_submission(self) -> usize {
        match self {
            Self::Requests => 1,
            Self::Jobs => TASKS_PER_JOB,
        }
    }

    const fn concurrency(self) -> usize {
        match self {
            Self::Requests => CONCURRENT_REQUESTS,
            Self::Jobs => CONCURRENT_JOBS,
        }
    }

    /// Slopes of the entry's CPU time, the agents' CPU time and the session bytes.
    const fn slope_names(self) -> [SlopeName; 3] {
        match self {
            Self::Requests => [
                SlopeName::EntryRequestUs,
                SlopeName::AgentRequestUs,
                SlopeName::RequestBytes,
            ],
            Self::Jobs => [
                SlopeName::EntryJobTaskUs,
                SlopeName::AgentJobTaskUs,
                SlopeName::JobTaskBytes,
            ],
        }
    }
}

/// Task body of about 200 bytes as JSON.
fn task_body(run_ms: u64) -> Value {
    const JSON_OVERHEAD_BYTES: usize = 24;
    json!({ "run_ms": run_ms, "echo": "x".repeat(TASK_BODY_BYTES - JSON_OVERHEAD_BYTES) })
}

pub(super) async fn tasks(slopes: &mut Slopes) -> Result<(), SlopesError> {
    let cluster = Cluster::start(CLUSTER_OPTIONS).await?;
    cluster
        .configure(&inventory(1, CLUSTER_OPTIONS.agents))
        .await?;
    tokio::time::sleep(SETTLE_TIME).await;
    submit_all(&cluster, Workload::Requests, WARM_UP_REQUESTS).await?;
    for count in REQUESTS {
        measure_workload(&cluster, slopes, Workload::Requests, count).await?;
    }
    for count in JOBS {
        measure_workload(&cluster, slopes, Workload::Jobs, count).await?;
    }
    drop(cluster);
    open_tasks(slopes).await
}

async fn submit_all(
    cluster: &Cluster,
    workload: Workload,
    count: usize,
) -> Result<(), SlopesError> {
    let body = workload.body();
    let submissions = (0..count).map(|_| cluster.submit(workload.path(), &body));
    futures::stream::iter(submissions)
        .buffer_unordered(workload.concurrency())
        .try_for_each(|_| async { Ok(()) })
        .await
}

async fn measure_workload(
    cluster: &Cluster,
    slopes: &mut Slopes,
    workload: Workload,
    count: usize,
) -> Result<(), SlopesError> {
    let (entry_before, agents_before) = (cluster.entry.usage()?, cluster.total_agent_usage()?);
    let before = cluster.session_relay.traffic();
    submit_all(cluster, workload, count).await?;
    let after = cluster.session_relay.traffic();
    let entry_us = cluster.entry.usage()?.cpu_us - entry_before.cpu_us;
    let agents_us = cluster.total_agent_usage()?.cpu_us - agents_before.cpu_us;
    let mut recorder = Recorder {
        slopes,
        x_label: "tasks",
        x: usize_to_f64(count * workload.tasks_per_submission()),
    };
    let [entry_name, agent_name, bytes_name] = workload.slope_names();
    recorder.add(entry_name, u64_to_f64(entry_us));
    recorder.add(agent_name, u64_to_f64(agents_us));
    let bytes = after.wire_bytes() - before.wire_bytes();
    recorder.add(bytes_name, u64_to_f64(bytes));
    Ok(())
}

/// Measures the entry's memory with jobs that stay open; each size gets a new cluster.
async fn open_tasks(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for jobs in OPEN_JOBS {
        let cluster = Cluster::start(CLUSTER_OPTIONS).await?;
        cluster
            .configure(&inventory(1, CLUSTER_OPTIONS.agents))
            .await?;
        let tasks = vec![task_body(600_000); TASKS_PER_JOB];
        let job = json!({ "service": SERVICE, "tasks": tasks, "deadline_ms": 600_000 });
        let submissions = (0..jobs).map(|_| cluster.submit("/v1/jobs", &job));
        let open = futures::future::try_join_all(submissions);
        tokio::select! {
            // The tasks run longer than this measurement, so a job ends here only if it is refused.
            refused = open => drop(refused?),
            () = tokio::time::sleep(SETTLE_TIME) => {}
        }
        let memory = u64_to_f64(cluster.entry.usage()?.memory_bytes);
        let mut recorder = Recorder {
            slopes,
            x_label: "open tasks",
            x: usize_to_f64(jobs * TASKS_PER_JOB),
        };
        recorder.add(SlopeName::EntryOpenTaskMemoryBytes, memory);
    }
    Ok(())
}
