//! Running one task on the target over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::body::Bytes;
use dfs_conf::AgentSettings;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_policy::agent::RunEnd;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error as ClientError;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde_json::value::RawValue;

use crate::edge::Run;
use crate::edge::TargetDriver;

/// Idle connections are closed before a target is likely to close them, since a request that was
/// written to a connection in closing has an unknown outcome.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Longest part of an error body that is passed on.
const MAX_FAULT_BYTES: usize = 512;

/// Time beyond the submission's deadline after which a call is given up, so that a target that never
/// answers does not hold its slots.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// A task to start.
#[derive(Debug)]
pub struct Start {
    /// The attempt.
    pub task: TaskRef,
    /// Name of the service.
    pub service: ServiceName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Run time that the caller expects; zero: unknown.
    pub declared_ms: Millis,
    /// Time until the submission is answered, with or without the task.
    pub time_left: Duration,
    /// What the task is given.
    pub body: Arc<RawValue>,
}

/// Starts tasks on the target; never repeats a request.
#[derive(Debug, Clone)]
pub(crate) struct HttpTarget {
    client: Client<HttpConnector, Full<Bytes>>,
    run_timeout: Duration,
    max_answer_bytes: usize,
}

impl HttpTarget {
    pub fn new(settings: &AgentSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.target_connect_timeout_ms.into()));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(MAX_IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            run_timeout: settings.target_run_timeout_ms.into(),
            max_answer_bytes: settings.max_answer_bytes as usize,
        }
    }

    async fn run(self, start: Start) -> (u64, RunEnd) {
        let started = Instant::now();
        let longest = self.run_timeout.min(start.time_left + DEADLINE_GRACE);
        let end = match tokio::time::timeout(longest, self.call(&start)).await {
            Ok(end) => end,
            Err(_) => unknown(format!("no answer within {longest:?}")),
        };
        let run_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        (run_us, end)
    }

    async fn call(&self, start: &Start) -> RunEnd {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/{}", start.address, start.service))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(
                start.body.get().as_bytes(),
            )));
        let request = match request {
            Ok(request) => request,
            // Service names are checked, so no name leads here.
            Err(error) => return unknown(error.to_string()),
        };
        match self.client.request(request).await {
            Ok(response) => RunEnd::Finished(self.read(response).await),
            Err(error) if error.is_connect() => RunEnd::NotStarted(NotRunReason::ConnectionRefused),
            Err(error) => unknown(describe(&error)),
        }
    }

    async fn read(&self, response: Response<Incoming>) -> TaskOutcome {
        let status = response.status();
        let body = Limited::new(response.into_body(), self.max_answer_bytes)
            .collect()
            .await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) => return TaskOutcome::Failed(format!("the answer is cut short: {error}")),
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        if !status.is_success() {
            let end = text.floor_char_boundary(MAX_FAULT_BYTES);
            return TaskOutcome::Failed(format!("status {}: {}", status.as_u16(), &text[..end]));
        }
        match RawValue::from_string(text) {
            Ok(json) => TaskOutcome::Done(Arc::from(json)),
            Err(error) => TaskOutcome::Failed(format!("the answer is not JSON: {error}")),
        }
    }
}

impl TargetDriver for HttpTarget {
    fn start(&self, start: Start) -> Run {
        Box::pin(self.clone().run(start))
    }

    /// The protocol has no stop: the run ends by itself.
    fn stop(&self, _: &TaskRef) {}
}

fn unknown(message: String) -> RunEnd {
    RunEnd::Finished(TaskOutcome::Unknown(message))
}

fn describe(error: &ClientError) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
