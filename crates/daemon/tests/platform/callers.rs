//! Callers, which submit jobs one after the other, each again when it gets no answer.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::client;

/// Time after which a job is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
const RUN_MS: RangeInclusive<u32> = 300..=1_500;
const DEADLINE_MS: u64 = 8_000;
/// Time after the deadline in which an answer still counts: the longest pause of an entry, and slow machines.
const GRACE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// What became of an attempt to hand a job in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Status(u16, String),
    Broken,
    /// The connection was open for longer than the deadline.
    Missing,
}

#[derive(Debug, Clone)]
pub struct Submission {
    pub job: String,
    pub tasks: u32,
    pub label: Option<&'static str>,
    /// Replies to all attempts.
    pub replies: Vec<Reply>,
}

/// Jobs that callers submit.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub callers: usize,
    /// Labels that tasks may need.
    pub labels: &'static [&'static str],
}

pub struct Callers(Vec<JoinHandle<Vec<Submission>>>);

impl Callers {
    /// Submits jobs until `until`.
    pub fn start(
        load: Load,
        random: &mut SmallRng,
        entries: &[SocketAddr],
        until: Instant,
    ) -> Self {
        let spawn = |_| {
            let mut random = SmallRng::seed_from_u64(random.random());
            let entries = entries.to_vec();
            tokio::spawn(async move {
                let mut submissions = Vec::new();
                while Instant::now() < until {
                    submissions.push(submit(load, &mut random, &entries).await);
                    tokio::time::sleep(PAUSE).await;
                }
                submissions
            })
        };
        Self((0..load.callers).map(spawn).collect())
    }

    /// Waits for the last answers.
    pub async fn finish(self) -> Vec<Submission> {
        let mut submissions = Vec::new();
        for caller in self.0 {
            submissions.extend(caller.await.unwrap());
        }
        submissions
    }
}

async fn submit(load: Load, random: &mut SmallRng, entries: &[SocketAddr]) -> Submission {
    let tasks = random.random_range(2..=7);
    let run_ms = random.random_range(RUN_MS);
    let label = load
        .labels
        .get(random.random_range(0..=load.labels.len()))
        .copied();
    let mut body = match label {
        Some(label) => client::job_with_label(tasks, &run_ms.to_string(), label),
        None => client::job(tasks, &run_ms.to_string()),
    };
    body["steps"][0]["estimateMs"] = json!(run_ms);
    let mut submission = Submission {
        job: client::new_id(),
        tasks,
        label,
        replies: Vec::new(),
    };
    let started = Instant::now();
    let deadline = Duration::from_millis(DEADLINE_MS);
    loop {
        let left = deadline.saturating_sub(started.elapsed());
        if left.is_zero() {
            return submission;
        }
        let entry = entries[random.random_range(0..entries.len())];
        let left_ms = u64::try_from(left.as_millis()).unwrap();
        let response = client::post_with_deadline(entry, &submission.job, &body, left_ms);
        let reply = match tokio::time::timeout(left + GRACE, response).await {
            Ok(response) if response.status == 0 => Reply::Broken,
            Ok(response) => Reply::Status(response.status, response.body.to_string()),
            Err(_) => Reply::Missing,
        };
        let is_repeated = matches!(reply, Reply::Broken | Reply::Status(502 | 504, _));
        submission.replies.push(reply);
        if !is_repeated {
            return submission;
        }
        tokio::time::sleep(RESUBMIT_DELAY).await;
    }
}
