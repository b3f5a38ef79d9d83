//! Runs tasks on the target over HTTP, the built-in target protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::body::Bytes;
use dfs_conf::AgentSettings;
use dfs_ids::Label;
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

use crate::edge::RunFuture;
use crate::edge::TargetDriver;

/// Idle time after which a pooled connection is closed. It is short so that the agent closes before
/// the target does: a request written to a connection that the target is closing has an unknown
/// outcome.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Length to which the body of an error response is cut in the error message.
const MAX_ERROR_BODY_BYTES: usize = 512;

/// Time after the submission's deadline at which a call is abandoned, so that a target that never
/// answers does not occupy its slots for ever.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// A request to run a task.
#[derive(Debug)]
pub struct RunRequest {
    /// The task and the number of the attempt.
    pub task: TaskRef,
    /// The service to call.
    pub service: ServiceName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Run time that the caller expects; zero: unknown.
    pub declared_ms: Millis,
    /// Label that the target must have. The target may have been replaced since the agent decided to start the task.
    pub label: Option<Label>,
    /// Time until the submission is answered, with or without the task.
    pub time_left: Duration,
    /// JSON body of the task.
    pub body: Arc<RawValue>,
}

/// A target that is called over HTTP. A request is never retried, since its task may have run.
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
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            run_timeout: settings.target_run_timeout_ms.into(),
            max_answer_bytes: settings.max_answer_bytes as usize,
        }
    }

    async fn run(self, run_request: RunRequest) -> (u64, RunEnd) {
        let started = Instant::now();
        let timeout = self.run_timeout.min(run_request.time_left + DEADLINE_GRACE);
        let end = match tokio::time::timeout(timeout, self.call(&run_request)).await {
            Ok(end) => end,
            Err(_) => unknown_outcome(format!("no answer within {timeout:?}")),
        };
        let run_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        (run_us, end)
    }

    async fn call(&self, run_request: &RunRequest) -> RunEnd {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!(
                "http://{}/{}",
                run_request.address, run_request.service
            ))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(
                run_request.body.get().as_bytes(),
            )));
        let request = match request {
            Ok(request) => request,
            // Does not happen: service names are valid in a path.
            Err(error) => return unknown_outcome(error.to_string()),
        };
        match self.client.request(request).await {
            Ok(response) => RunEnd::Finished(self.read_outcome(response).await),
            Err(error) if error.is_connect() => RunEnd::NotStarted(NotRunReason::ConnectionRefused),
            Err(error) => unknown_outcome(error_with_source(&error)),
        }
    }

    async fn read_outcome(&self, response: Response<Incoming>) -> TaskOutcome {
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
            let end = text.floor_char_boundary(MAX_ERROR_BODY_BYTES);
            return TaskOutcome::Failed(format!("status {}: {}", status.as_u16(), &text[..end]));
        }
        match RawValue::from_string(text) {
            Ok(json) => TaskOutcome::Done(Arc::from(json)),
            Err(error) => TaskOutcome::Failed(format!("the answer is not JSON: {error}")),
        }
    }
}

impl TargetDriver for HttpTarget {
    fn start(&self, request: RunRequest) -> RunFuture {
        Box::pin(self.clone().run(request))
    }

    /// Does nothing, since the protocol has no request to stop a run.
    fn stop(&self, _: &TaskRef) {}
}

fn unknown_outcome(message: String) -> RunEnd {
    RunEnd::Finished(TaskOutcome::Unknown(message))
}

fn error_with_source(error: &ClientError) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
