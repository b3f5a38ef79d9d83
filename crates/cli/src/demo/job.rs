//! The jobs that the demo submits.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dfs_ids::Millis;
use dfs_wire::api::Answer;
use dfs_wire::api::Outcome;
use serde_json::json;
use snafu::ResultExt;

use super::DemoError;
use super::error::ExampleSnafu;
use super::task_bodies;
use crate::client::Call;
use crate::client::Client;
use crate::options::Token;

/// A job that the demo submits for one group.
#[derive(Debug)]
pub struct DemoJob {
    pub group: &'static str,
    pub token: &'static str,
    pub tasks: usize,
    /// Run times assigned to the tasks in rotation.
    pub run_times_ms: &'static [u64],
}

/// Jobs of two groups with unequal shares. The largest job has the maximum number of tasks that
/// the example rules allow.
pub const DEMO_JOBS: [DemoJob; 4] = [
    DemoJob {
        group: "lagos-printers",
        token: "demo-lagos-printers",
        tasks: 320,
        run_times_ms: &[50, 80, 200],
    },
    DemoJob {
        group: "ibadan-printers",
        token: "demo-ibadan-printers",
        tasks: 40,
        run_times_ms: &[60, 400],
    },
    DemoJob {
        group: "lagos-printers",
        token: "demo-lagos-printers",
        tasks: 1,
        run_times_ms: &[120],
    },
    DemoJob {
        group: "ibadan-printers",
        token: "demo-ibadan-printers",
        tasks: 8,
        run_times_ms: &[250],
    },
];

const DEADLINE_MS: Millis = Millis::new(30_000);
/// Number of results printed per job.
const MAX_PRINTED_RESULTS: usize = 2;

/// A job with its answer and response time.
#[derive(Debug)]
pub struct JobMeasurement {
    pub job: &'static DemoJob,
    pub answer: Answer,
    pub response: Duration,
}

impl DemoJob {
    /// Submits the job and waits for its answer.
    pub async fn submit(&'static self, entry: SocketAddr) -> Result<JobMeasurement, DemoError> {
        let body = json!({
            "service": "member-desk",
            "deadline_ms": DEADLINE_MS,
            "tasks": task_bodies(self),
        });
        let call = Call::post("/v1/jobs", &body).context(ExampleSnafu)?;
        let client = Client::new(Token::new(self.token)?, DEADLINE_MS + DEADLINE_MS);
        let started = Instant::now();
        let reply = client.send(entry, &call).await?;
        let answer = reply.parse()?;
        let response = started.elapsed();
        Ok(JobMeasurement {
            job: self,
            answer,
            response,
        })
    }
}

impl JobMeasurement {
    pub fn is_complete(&self) -> bool {
        self.answer.outcome == Outcome::Complete && self.answer.results.len() == self.job.tasks
    }

    /// Run time of the longest task: the response time on an idle pool with unlimited capacity.
    pub fn ideal_response(&self) -> Duration {
        let longest = self.job.run_times_ms.iter().take(self.job.tasks).max();
        Duration::from_millis(longest.copied().unwrap_or_default())
    }
}

impl fmt::Display for JobMeasurement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { job, answer, .. } = self;
        write!(
            f,
            "{}: {} of {} tasks {}",
            job.group,
            answer.results.len(),
            job.tasks,
            answer.outcome
        )?;
        for result in answer.results.iter().take(MAX_PRINTED_RESULTS) {
            write!(f, " {result}")?;
        }
        if answer.results.len() > MAX_PRINTED_RESULTS {
            write!(f, " …")?;
        }
        if let Some(failure) = &answer.failure {
            write!(f, " {}: {}", failure.reason, failure.message)?;
        }
        Ok(())
    }
}
