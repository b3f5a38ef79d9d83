//! A fake entry that answers from a script and records what it receives.

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

/// One recorded HTTP request.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Method and path.
    pub line: String,
    /// Value of the header `dragonflyshed-submission`.
    pub submission: Option<String>,
    /// JSON body, null if there was none.
    pub body: Value,
}

/// How the fake entry handles one request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answer with a status and a body.
    Json(u16, Value),
    /// Answer a submission as complete; the result of each task is its body.
    Echo,
    /// Like `Echo`, but each result is a body that no task sent.
    WrongEcho,
    /// Read the request and never answer.
    Hang,
    /// Close the connection after reading the request, without a complete reply.
    Disconnect,
}

#[derive(Default)]
struct Script {
    /// Replies that are used up in this order.
    replies: VecDeque<Reply>,
    /// Reply after the ones in `replies`; status 500 if `None`.
    default: Option<Reply>,
    received: Vec<ReceivedRequest>,
    /// Whether `GET /v1/status` gets computed counters in place of a scripted reply.
    reports_counters: bool,
}

/// A fake entry on a loopback port; stops when dropped.
pub struct FakeEntry {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    _runtime: Runtime,
}

impl FakeEntry {
    /// Answers with these replies in order, and then with status 500.
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

    /// Answers submissions with the reply, and `GET /v1/status` with counters of two messages for
    /// each received task.
    pub fn counting(reply: Reply) -> Self {
        Self::start(Script {
            default: Some(reply),
            reports_counters: true,
            ..Script::default()
        })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests received so far, except status calls that got computed counters.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.script.lock().unwrap().received.clone()
    }

    /// Waits until at least this many requests have been received.
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
    let request = ReceivedRequest {
        line: format!("{method} {}", uri.path()),
        submission: header("dragonflyshed-submission"),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    };
    let authorized = header("authorization") == Some(format!("Bearer {TOKEN}"));
    let reply = next_reply(&script, request.clone());
    if !authorized {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    match reply {
        Reply::Json(status, body) => json(status, &body),
        Reply::Echo => json(200, &complete(&request, &tasks(&request.body))),
        Reply::WrongEcho => {
            let wrong = serde_json::json!({"echo": "another"});
            json(
                200,
                &complete(&request, &vec![wrong; tasks(&request.body).len()]),
            )
        }
        Reply::Hang => std::future::pending().await,
        Reply::Disconnect => broken_response(),
    }
}

fn next_reply(script: &Mutex<Script>, request: ReceivedRequest) -> Reply {
    let mut script = script.lock().unwrap();
    if script.reports_counters && request.line == "GET /v1/status" {
        return Reply::Json(200, status_with_counters(&script.received));
    }
    script.received.push(request);
    let default = script.default.clone();
    script
        .replies
        .pop_front()
        .or(default)
        .unwrap_or(Reply::Json(500, Value::Null))
}

fn status_with_counters(received: &[ReceivedRequest]) -> Value {
    let settled: usize = received.iter().map(|r| tasks(&r.body).len()).sum();
    let mut status = status("e1", 1, 1);
    status["tasks_settled"] = settled.into();
    status["session_messages"] = (2 * settled).into();
    status
}

/// Bodies of the tasks of a job, or the single body of a request.
pub fn tasks(body: &Value) -> Vec<Value> {
    match &body["tasks"] {
        Value::Array(tasks) => tasks.clone(),
        _ => vec![body["body"].clone()],
    }
}

fn complete(request: &ReceivedRequest, results: &[Value]) -> Value {
    serde_json::json!({
        "submission": request.submission,
        "outcome": "complete",
        "results": results,
    })
}

fn json(status: u16, body: &Value) -> Response {
    let status = StatusCode::from_u16(status).unwrap();
    (status, body.to_string()).into_response()
}

/// The stream of the body fails, so the server closes the connection.
fn broken_response() -> Response {
    let broken = futures::stream::once(async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        Err::<Bytes, _>(std::io::Error::other("connection closed by the test"))
    });
    Response::new(axum::body::Body::from_stream(broken))
}
