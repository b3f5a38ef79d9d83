//! Single requests, jobs and open tasks.

use std::time::Duration;

use futures::StreamExt;
use futures::TryStreamExt;
use serde_json::Value;
use serde_json::json;

use super::Sample;
use super::cluster::Cluster;
use super::cluster::SERVICE;
use super::cluster::Shape;
use super::cluster::inventory;
use super::float;
use super::size_float;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const TASKS_PER_JOB: usize = 320;
const BODY_BYTES: usize = 200;
const REQUESTS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];
const JOBS: [usize; 4] = [10, 20, 40, 80];
const OPEN_JOBS: [usize; 4] = [8, 16, 32, 48];
const CONCURRENT_REQUESTS: usize = 32;
const CONCURRENT_JOBS: usize = 4;
const WARM_UP: usize = 500;
const SETTLE: Duration = Duration::from_secs(3);
const SHAPE: Shape = Shape {
    agents: 8,
    slots: 8,
    busy_renew_ms: 1_000,
    has_targets: true,
};

/// What is submitted.
#[derive(Debug, Clone, Copy)]
enum Load {
    Requests,
    Jobs,
}

impl Load {
    const fn path(self) -> &'static str {
        match self {
            Self::Requests => "/v1/requests",
            Self::Jobs => "/v1/jobs",
        }
    }

    fn body(self) -> Value {
        match self {
            Self::Requests => json!({ "service": SERVICE, "body": body(0) }),
            Self::Jobs => json!({ "service": SERVICE, "tasks": vec![body(0); TASKS_PER_JOB] }),
        }
    }

    const fn tasks(self) -> usize {
        match self {
            Self::Requests => 1,
            Self::Jobs => TASKS_PER_JOB,
        }
    }

    const fn concurrent(self) -> usize {
        match self {
            Self::Requests => CONCURRENT_REQUESTS,
            Self::Jobs => CONCURRENT_JOBS,
        }
    }

    /// Processor time of the entry and of the agents, and bytes.
    const fn names(self) -> [SlopeName; 3] {
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

/// A task whose JSON has about 200 bytes.
fn body(run_ms: u64) -> Value {
    const FRAME_BYTES: usize = 24;
    json!({ "run_ms": run_ms, "echo": "x".repeat(BODY_BYTES - FRAME_BYTES) })
}

pub(super) async fn tasks(slopes: &mut Slopes) -> Result<(), SlopesError> {
    let cluster = Cluster::start(SHAPE).await?;
    cluster.configure(&inventory(1, SHAPE.agents)).await?;
    tokio::time::sleep(SETTLE).await;
    submit_all(&cluster, Load::Requests, WARM_UP).await?;
    for count in REQUESTS {
        measure_load(&cluster, slopes, Load::Requests, count).await?;
    }
    for count in JOBS {
        measure_load(&cluster, slopes, Load::Jobs, count).await?;
    }
    drop(cluster);
    open_tasks(slopes).await
}

async fn submit_all(cluster: &Cluster, load: Load, count: usize) -> Result<(), SlopesError> {
    let body = load.body();
    let submissions = (0..count).map(|_| cluster.submit(load.path(), &body));
    futures::stream::iter(submissions)
        .buffer_unordered(load.concurrent())
        .try_for_each(|_| async { Ok(()) })
        .await
}

async fn measure_load(
    cluster: &Cluster,
    slopes: &mut Slopes,
    load: Load,
    count: usize,
) -> Result<(), SlopesError> {
    let (entry, agents) = (cluster.entry.usage()?, cluster.agents_usage()?);
    let before = cluster.sessions.passed();
    submit_all(cluster, load, count).await?;
    let after = cluster.sessions.passed();
    let entry_us = cluster.entry.usage()?.processor_us - entry.processor_us;
    let agents_us = cluster.agents_usage()?.processor_us - agents.processor_us;
    let mut sample = Sample {
        slopes,
        size: "tasks",
        x: size_float(count * load.tasks()),
    };
    let [entry_name, agent_name, bytes_name] = load.names();
    sample.add(entry_name, float(entry_us));
    sample.add(agent_name, float(agents_us));
    let bytes = after.wire_bytes() - before.wire_bytes();
    sample.add(bytes_name, float(bytes));
    Ok(())
}

/// Jobs that stay open, each size on a new entry.
async fn open_tasks(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for jobs in OPEN_JOBS {
        let cluster = Cluster::start(SHAPE).await?;
        cluster.configure(&inventory(1, SHAPE.agents)).await?;
        let tasks = vec![body(600_000); TASKS_PER_JOB];
        let job = json!({ "service": SERVICE, "tasks": tasks, "deadline_ms": 600_000 });
        let submissions = (0..jobs).map(|_| cluster.submit("/v1/jobs", &job));
        let open = futures::future::try_join_all(submissions);
        tokio::select! {
            // Only a refusal ends one of these jobs.
            refused = open => drop(refused?),
            () = tokio::time::sleep(SETTLE) => {}
        }
        let memory = float(cluster.entry.usage()?.memory_bytes);
        let mut sample = Sample {
            slopes,
            size: "open tasks",
            x: size_float(jobs * TASKS_PER_JOB),
        };
        sample.add(SlopeName::EntryOpenTaskMemoryBytes, memory);
    }
    Ok(())
}
