//! Closed-loop load: parallel callers, each with one open submission at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dfs_wire::api::Answer;
use dfs_wire::api::Outcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Call;
use super::CallError;
use super::Cluster;
use super::GROUP_TOKEN;
use super::SERVICE;
use super::pause_ms;
use super::wait_until;

const CALLERS: u64 = 10;
const MAX_TASKS: usize = 8;
const MAX_RUN_MS: u64 = 60;
const DEADLINE_MS: u64 = 4_000;
/// Time after the deadline in which a final answer still counts, for slow machines.
const ANSWER_MARGIN_MS: u64 = 15_000;
const MAX_ATTEMPTS: u32 = 4;
const READINESS_POLL_MS: u64 = 50;
/// Pause of a caller after a submission that was not completed.
const BACK_OFF_MS: u64 = 20;

/// Kind of a submission. Tasks of a `RepeatableRequest` may start more than once; all others may
/// not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionKind {
    Job,
    Request,
    RepeatableRequest,
    /// A request that is submitted again under its key, through any entry, until it completes or
    /// [`MAX_ATTEMPTS`] is reached.
    KeyedRequest,
}

/// An attempt at a submission, and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    pub kind: SubmissionKind,
    pub entry: usize,
    /// Ids of the tasks, shared by all attempts of a keyed request.
    pub ids: Vec<String>,
    pub attempt: u32,
    pub answer: Result<Answer, CallError>,
}

impl Record {
    /// `complete`, the failure reason, or why there is no answer.
    pub fn outcome(&self) -> String {
        match &self.answer {
            Ok(Answer {
                failure: Some(failure),
                ..
            }) => failure.reason.to_string(),
            Ok(answer) => answer.outcome.to_string(),
            Err(CallError::Broken(_)) => "connection broken".to_owned(),
            Err(error) => format!("{error:?}"),
        }
    }

    pub fn is_complete(&self) -> bool {
        matches!(&self.answer, Ok(answer) if answer.outcome == Outcome::Complete)
    }
}

/// Formats the number of submissions by outcome.
pub fn outcome_counts(records: &[Record]) -> String {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.outcome()).or_insert(0) += 1;
    }
    format!("{} submissions: {counts:?}", records.len())
}

/// Body of a task; the target echoes the id and attempt, and logs them at the start.
pub fn task_body(id: &str, attempt: u32, run_ms: u64) -> Value {
    json!({ "run_ms": run_ms, "echo": { "id": id, "try": attempt } })
}

/// Offset added to every seed, from `FAULTS_SEED_OFFSET`, to run other loads than CI does.
fn seed_offset() -> u64 {
    let offset = std::env::var("FAULTS_SEED_OFFSET");
    offset.map_or(0, |offset| offset.parse().unwrap())
}

/// Address and readiness of an entry, as the balancer of the callers sees them.
#[derive(Debug, Clone, Copy)]
struct Endpoint {
    address: SocketAddr,
    is_ready: bool,
}

/// Running callers and their balancer.
pub struct Load {
    stop_requested: Arc<AtomicBool>,
    endpoints: watch::Sender<Vec<Endpoint>>,
    records: Arc<Mutex<Vec<Record>>>,
    callers: Vec<JoinHandle<()>>,
    balancer: JoinHandle<()>,
}

impl Load {
    /// Starts callers that connect to the entries directly, bypassing the relays.
    pub async fn start(cluster: &Cluster, seed: u64) -> Self {
        let addresses = (0..cluster.entries.len()).map(|n| cluster.entry_address(n));
        Self::start_with_addresses(addresses.collect(), seed).await
    }

    /// Starts callers that use one address per entry, and waits until submissions complete.
    pub async fn start_with_addresses(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let seed = seed + seed_offset();
        let endpoint = |address| Endpoint {
            address,
            is_ready: true,
        };
        let endpoints = watch::Sender::new(addresses.into_iter().map(endpoint).collect());
        let stop_requested = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let callers = (0..CALLERS).map(|number| {
            let caller = Caller {
                number,
                rng: SmallRng::seed_from_u64(seed * CALLERS + number),
                stop_requested: Arc::clone(&stop_requested),
                endpoints: endpoints.subscribe(),
                records: Arc::clone(&records),
            };
            tokio::spawn(caller.run())
        });
        let load = Self {
            callers: callers.collect(),
            balancer: tokio::spawn(poll_readiness(endpoints.clone())),
            stop_requested,
            endpoints,
            records,
        };
        load.wait_for_progress().await;
        load
    }

    /// Sets the address of an entry after it was replaced.
    pub fn set_entry_address(&self, entry: usize, address: SocketAddr) {
        self.endpoints
            .send_modify(|endpoints| endpoints[entry].address = address);
    }

    pub fn completed_count(&self) -> usize {
        let records = self.records.lock().unwrap();
        records.iter().filter(|record| record.is_complete()).count()
    }

    /// Waits until 30 more submissions complete.
    pub async fn wait_for_progress(&self) {
        let target_count = self.completed_count() + 30;
        wait_until("submissions complete", async || {
            self.completed_count() >= target_count
        })
        .await;
    }

    /// Stops the callers once their open submissions end, and returns all attempts.
    pub async fn stop(self) -> Vec<Record> {
        self.stop_requested.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.balancer.abort();
        std::mem::take(&mut self.records.lock().unwrap())
    }
}

/// Polls the readiness of every entry for as long as the load runs.
async fn poll_readiness(endpoints: watch::Sender<Vec<Endpoint>>) {
    loop {
        let snapshot = endpoints.borrow().clone();
        for (number, endpoint) in snapshot.into_iter().enumerate() {
            let mut call = Call::get("/readyz", "");
            call.timeout = Duration::from_millis(500);
            let is_ready = call
                .send(endpoint.address)
                .await
                .is_ok_and(|r| r.status == 200);
            endpoints.send_modify(|endpoints| endpoints[number].is_ready = is_ready);
        }
        pause_ms(READINESS_POLL_MS).await;
    }
}

struct Caller {
    number: u64,
    rng: SmallRng,
    stop_requested: Arc<AtomicBool>,
    endpoints: watch::Receiver<Vec<Endpoint>>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Caller {
    async fn run(mut self) {
        let mut sequence = 0;
        while !self.stop_requested.load(Ordering::Relaxed) {
            sequence += 1;
            let kind = match self.rng.random_range(0..10) {
                0..5 => SubmissionKind::Job,
                5..7 => SubmissionKind::Request,
                7..9 => SubmissionKind::RepeatableRequest,
                _ => SubmissionKind::KeyedRequest,
            };
            let count = match kind {
                SubmissionKind::Job => self.rng.random_range(1..=MAX_TASKS),
                SubmissionKind::Request
                | SubmissionKind::RepeatableRequest
                | SubmissionKind::KeyedRequest => 1,
            };
            let name = |task| format!("caller-{}-{sequence}-{task}", self.number);
            let ids: Vec<_> = (0..count).map(name).collect();
            let attempts = if kind == SubmissionKind::KeyedRequest {
                MAX_ATTEMPTS
            } else {
                1
            };
            for attempt in 0..attempts {
                if self.submit(kind, &ids, attempt).await {
                    break;
                }
                pause_ms(BACK_OFF_MS).await;
            }
        }
    }

    /// Submits once through a random ready entry; returns whether the submission completed.
    async fn submit(&mut self, kind: SubmissionKind, ids: &[String], attempt: u32) -> bool {
        let Some((entry, address)) = self.pick_ready_entry() else {
            return false;
        };
        let (path, body) = self.request_body(kind, ids, attempt);
        let mut call = Call::post(path, GROUP_TOKEN, &body);
        call.timeout = Duration::from_millis(DEADLINE_MS + ANSWER_MARGIN_MS);
        let reply = call.send(address).await;
        let parse = |body: Value| {
            serde_json::from_value(body).map_err(|error| CallError::Broken(error.to_string()))
        };
        let answer = reply.and_then(|reply| parse(reply.body));
        let record = Record {
            kind,
            entry,
            ids: ids.to_vec(),
            attempt,
            answer,
        };
        let complete = record.is_complete();
        self.records.lock().unwrap().push(record);
        complete
    }

    fn pick_ready_entry(&mut self) -> Option<(usize, SocketAddr)> {
        let endpoints = self.endpoints.borrow().clone();
        let ready: Vec<_> = endpoints
            .iter()
            .enumerate()
            .filter(|(_, e)| e.is_ready)
            .collect();
        if ready.is_empty() {
            return None;
        }
        let (number, endpoint) = ready[self.rng.random_range(0..ready.len())];
        Some((number, endpoint.address))
    }

    fn request_body(
        &mut self,
        kind: SubmissionKind,
        ids: &[String],
        attempt: u32,
    ) -> (&'static str, Value) {
        let mut tasks: Vec<_> = ids
            .iter()
            .map(|id| task_body(id, attempt, self.rng.random_range(1..=MAX_RUN_MS)))
            .collect();
        let common = json!({ "service": SERVICE, "deadline_ms": DEADLINE_MS });
        let mut body = common.as_object().unwrap().clone();
        if kind == SubmissionKind::Job {
            body.insert("tasks".to_owned(), json!(tasks));
            return ("/v1/jobs", Value::Object(body));
        }
        body.insert("body".to_owned(), tasks.swap_remove(0));
        let repeatable = kind == SubmissionKind::RepeatableRequest;
        body.insert("repeatable".to_owned(), json!(repeatable));
        if kind == SubmissionKind::KeyedRequest {
            body.insert("request_key".to_owned(), json!(ids[0]));
        }
        ("/v1/requests", Value::Object(body))
    }
}
