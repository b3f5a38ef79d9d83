//! Requests that are malformed, unauthorised, endless or too many, beside an ordinary load.

use std::net::SocketAddr;

use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::GENEROUS;
use crate::support::GROUP_TOKEN;
use crate::support::Load;
use crate::support::OPERATOR_TOKEN;
use crate::support::Record;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::Shape;
use crate::support::judge;
use crate::support::pause_ms;
use crate::support::until;

const JOBS: &str = "/v1/jobs";

/// What a raw connection does after it has written.
#[derive(Debug, Clone, Copy)]
enum After {
    HalfClose,
    Stall,
}

/// Writes bytes and returns everything that comes back until the server closes.
async fn raw(to: SocketAddr, bytes: &str, after: After) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The server may close before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    if let After::HalfClose = after {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(GENEROUS, read).await;
    assert!(
        ended.is_ok(),
        "the server keeps the connection: {bytes:.200}"
    );
    String::from_utf8(answer).unwrap()
}

fn head(headers: &str) -> String {
    format!(
        "POST {JOBS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {GROUP_TOKEN}\r\n\
         connection: close\r\n{headers}\r\n"
    )
}

fn reason_of(body: &Value) -> FailureReason {
    assert_that!(body["failure"]["not_run"], eq(&json!(true)));
    serde_json::from_value(body["failure"]["reason"].clone()).unwrap()
}

/// The reason in the JSON body of a raw answer.
fn raw_reason(answer: &str) -> FailureReason {
    let (_, body) = answer.split_once("\r\n\r\n").expect(answer);
    reason_of(&serde_json::from_str(body).expect(answer))
}

async fn post(to: SocketAddr, token: &str, body: &Value) -> Reply {
    Call::post(JOBS, token, body).send(to).await.unwrap()
}

/// Runs a case beside a load, of which every submission has to be answered whole.
async fn harmless(seed: u64, case: impl AsyncFnOnce(&Cluster, SocketAddr)) {
    let cluster = Cluster::start(Shape::DEFAULT).await;
    let load = Load::start(&cluster, seed).await;
    case(&cluster, cluster.entry_address(0)).await;
    load.flows().await;
    let records = judge(load, &cluster, &[]).await;
    assert!(records.iter().all(Record::is_complete));
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_and_bodies() {
    harmless(61, async |cluster, to| {
        let job = json!({ "service": SERVICE, "tasks": [1] });
        let reply = post(to, OPERATOR_TOKEN, &job).await;
        assert_that!(reply.status, eq(403));
        assert_that!(reason_of(&reply.body), eq(FailureReason::Forbidden));
        for token in ["", "unknown", cluster.secret.as_str()] {
            let reply = post(to, token, &job).await;
            assert_that!(reply.status, eq(401), "{token}");
            assert_that!(reason_of(&reply.body), eq(FailureReason::UnknownToken));
        }
        let large = json!({ "service": SERVICE, "tasks": ["x".repeat(100 << 10)] });
        let reply = post(to, GROUP_TOKEN, &large).await;
        assert_that!(reply.status, eq(413));
        assert_that!(reason_of(&reply.body), eq(FailureReason::TooLarge));
        let malformed = ["{", "null", "\u{1}", "{\"service\":\"price\",\"tasks\":1}"];
        for body in malformed {
            let call = Call {
                body: body.into(),
                ..Call::post(JOBS, GROUP_TOKEN, &Value::Null)
            };
            let reply = call.send(to).await.unwrap();
            assert_that!(reply.status, eq(400), "{body}");
            assert_that!(reason_of(&reply.body), eq(FailureReason::BadRequest));
        }
        for token in [GROUP_TOKEN, "unknown"] {
            let reply = Call::post("/v1/config", token, &json!({})).send(to).await;
            assert_that!(reply.unwrap().status, eq(403));
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn halves_and_stalls() {
    harmless(62, async |_, to| {
        let half = format!("{}{{\"service\":", head("content-length: 1000\r\n"));
        let cut = raw(to, &half, After::HalfClose).await;
        if !cut.is_empty() {
            assert_that!(raw_reason(&cut), eq(FailureReason::BadRequest));
        }
        let slow = raw(to, &half, After::Stall).await;
        assert_that!(raw_reason(&slow), eq(FailureReason::BodyTimeout));
        let slow_head = raw(to, "POST /v1/jobs HTTP/1.1\r\nhost: ", After::Stall).await;
        println!("after half a head: {slow_head:?}");
        let many = raw(to, &head(&"x: 1\r\n".repeat(100)), After::HalfClose).await;
        assert_that!(many, starts_with("HTTP/1.1 431"));
        let nonsense = raw(to, "\u{1}\u{2}\r\n\r\n", After::HalfClose).await;
        assert_that!(nonsense, starts_with("HTTP/1.1 400"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_writers_side_by_side() {
    harmless(63, async |_, to| {
        let half = head("content-length: 1000\r\n");
        let writers = (0..100).map(|_| {
            let half = half.clone();
            tokio::spawn(async move { raw(to, &half, After::Stall).await })
        });
        for writer in writers.collect::<Vec<_>>() {
            let answer = writer.await.unwrap();
            assert_that!(raw_reason(&answer), eq(FailureReason::BodyTimeout));
        }
    })
    .await;
}

const FEW_CONNECTIONS: Shape = Shape {
    max_connections: 20,
    ..Shape::DEFAULT
};

async fn all_connections(to: SocketAddr) -> Vec<TcpStream> {
    let connect = (0..FEW_CONNECTIONS.max_connections).map(|_| TcpStream::connect(to));
    let mut open = Vec::new();
    for connection in connect {
        open.push(connection.await.unwrap());
    }
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit() {
    let cluster = Cluster::start(FEW_CONNECTIONS).await;
    let to = cluster.entry_address(0);
    let idle = all_connections(to).await;
    let body = json!({ "service": SERVICE, "tasks": [{ "echo": 1 }] });
    let reply = post(to, GROUP_TOKEN, &body).await;
    assert_that!(reply.status, eq(429));
    assert_that!(reason_of(&reply.body), eq(FailureReason::Overloaded));
    drop(idle);
    until("connections are free again", async || {
        post(to, GROUP_TOKEN, &body).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_hold_the_limit() {
    let cluster = Cluster::start(FEW_CONNECTIONS).await;
    let to = cluster.entry_address(0);
    let idle = all_connections(to).await;
    let body = json!({ "service": SERVICE, "tasks": [{ "echo": 1 }] });
    until("connections are free again", async || {
        post(to, GROUP_TOKEN, &body).await.status == 200
    })
    .await;
    drop(idle);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_with_the_wrong_secret_gets_no_session() {
    harmless(64, async |cluster, _| {
        let stranger = cluster.stranger("some-other-secret-of-16-bytes");
        until("the stranger is turned away", async || {
            stranger.log_text().contains("dial_failed")
        })
        .await;
        pause_ms(1_000).await;
        let status = cluster.status(0).await.unwrap();
        let agents = status["targets"].as_array().unwrap().clone();
        assert!(agents.iter().all(|target| target["agent"] != "stranger"));
        assert_that!(stranger.log_text(), contains_substring("session_secret"));
    })
    .await;
}
