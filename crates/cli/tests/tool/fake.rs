//! An entry that answers from a script and records what it receives.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::bench::TOKEN;
use crate::status::status;

/// One request as received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Method and path.
    pub line: String,
    /// The header `dragonflyshed-submission`.
    pub submission: Option<String>,
    /// The body, null if there was none.
    pub body: Value,
}

/// What to do with one request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answer with a status and a body.
    Json(u16, Value),
    /// Answer a submission completely, each task with its own body.
    Echo,
    /// Like `Echo`, but every answer carries the echo of another task.
    WrongEcho,
    /// Read the request and never answer.
    Hang,
    /// Break the connection after the request was read.
    Disconnect,
}

#[derive(Default)]
struct Script {
    replies: VecDeque<Reply>,
    default: Option<Reply>,
    seen: Vec<ReceivedRequest>,
    counts: bool,
}

/// The fake entry; it stops when dropped.
pub struct FakeEntry {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    _runtime: Runtime,
}

impl FakeEntry {
    /// Answers with these replies in turn, and then with status 500.
    pub fn new(replies: impl IntoIterator<Item = Reply>) -> Self {
        Self::start(Script {
            replies: replies.into_iter().collect(),
            ..Script::default()
        })
    }

    /// Always answers with the same reply.
    pub fn always(reply: Reply) -> Self {
        Self::start(Script {
            default: Some(reply),
            ..Script::default()
        })
    }

    /// Answers submissions with the reply and `GET /v1/status` with two messages for each task.
    pub fn counting(reply: Reply) -> Self {
        Self::start(Script {
            default: Some(reply),
            counts: true,
            ..Script::default()
        })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Everything received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.script.lock().unwrap().seen.clone()
    }

    /// Waits until this many requests were received.
    pub fn await_received(&self, count: usize) {
        while self.received().len() < count {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn start(script: Script) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(script));
        let app = Router::new().fallback(answer).with_state(script.clone());
        runtime.spawn(async move { axum::serve(listener, app).await });
        Self {
            address,
            script,
            _runtime: runtime,
        }
    }
}

async fn answer(
    State(script): State<Arc<Mutex<Script>>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let header = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    let seen = ReceivedRequest {
        line: format!("{method} {}", uri.path()),
        submission: header("dragonflyshed-submission"),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    };
    let authorized = header("authorization") == Some(format!("Bearer {TOKEN}"));
    let reply = next_reply(&script, seen.clone());
    if !authorized {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    match reply {
        Reply::Json(status, body) => json(status, &body),
        Reply::Echo => json(200, &complete(&seen, &tasks(&seen.body))),
        Reply::WrongEcho => {
            let wrong = serde_json::json!({"echo": "another"});
            json(200, &complete(&seen, &vec![wrong; tasks(&seen.body).len()]))
        }
        Reply::Hang => std::future::pending().await,
        Reply::Disconnect => lose(),
    }
}

fn next_reply(script: &Mutex<Script>, seen: ReceivedRequest) -> Reply {
    let mut script = script.lock().unwrap();
    if script.counts && seen.line == "GET /v1/status" {
        return Reply::Json(200, counted(&script.seen));
    }
    script.seen.push(seen);
    let default = script.default.clone();
    script
        .replies
        .pop_front()
        .or(default)
        .unwrap_or(Reply::Json(500, Value::Null))
}

fn counted(seen: &[ReceivedRequest]) -> Value {
    let settled: usize = seen.iter().map(|s| tasks(&s.body).len()).sum();
    let mut status = status("e1", 1, 1);
    status["tasks_settled"] = settled.into();
    status["session_messages"] = (2 * settled).into();
    status
}

/// Bodies of the tasks of a job or request.
pub fn tasks(body: &Value) -> Vec<Value> {
    match &body["tasks"] {
        Value::Array(tasks) => tasks.clone(),
        _ => vec![body["body"].clone()],
    }
}

fn complete(seen: &ReceivedRequest, results: &[Value]) -> Value {
    serde_json::json!({
        "submission": seen.submission,
        "outcome": "complete",
        "results": results,
    })
}

fn json(status: u16, body: &Value) -> Response {
    let status = StatusCode::from_u16(status).unwrap();
    (status, body.to_string()).into_response()
}

/// A body that fails at once makes the server close the connection.
fn lose() -> Response {
    let broken = futures::stream::once(async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        Err::<Bytes, _>(std::io::Error::other("connection cut on purpose"))
    });
    Response::new(axum::body::Body::from_stream(broken))
}
