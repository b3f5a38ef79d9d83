//! Malformed, unauthorized, stalled or excessive requests, and an agent with a wrong secret.

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
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::Load;
use crate::support::OPERATOR_TOKEN;
use crate::support::Record;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::WAIT_TIMEOUT;
use crate::support::pause_ms;
use crate::support::stop_and_verify;
use crate::support::wait_until;

const JOBS: &str = "/v1/jobs";

/// What the client does with a raw connection after it has written its bytes.
#[derive(Debug, Clone, Copy)]
enum AfterWrite {
    HalfClose,
    Stall,
}

/// Writes bytes and returns everything that the server sends until it closes the connection.
async fn send_raw(address: SocketAddr, bytes: &str, after: AfterWrite) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    if let AfterWrite::HalfClose = after {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(WAIT_TIMEOUT, read).await;
    assert!(
        ended.is_ok(),
        "the server did not close the connection after: {bytes:.200}"
    );
    String::from_utf8(answer).unwrap()
}

fn request_head(headers: &str) -> String {
    format!(
        "POST {JOBS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {GROUP_TOKEN}\r\n\
         connection: close\r\n{headers}\r\n"
    )
}

fn refusal_reason(body: &Value) -> FailureReason {
    assert_that!(body["failure"]["not_run"], eq(&json!(true)));
    serde_json::from_value(body["failure"]["reason"].clone()).unwrap()
}

/// Parses the refusal reason from the JSON body of a raw response.
fn raw_refusal_reason(answer: &str) -> FailureReason {
    let (_, body) = answer.split_once("\r\n\r\n").expect(answer);
    refusal_reason(&serde_json::from_str(body).expect(answer))
}

async fn post_job(address: SocketAddr, token: &str, body: &Value) -> Reply {
    Call::post(JOBS, token, body).send(address).await.unwrap()
}

/// Runs a scenario beside a load, every submission of which must complete.
async fn run_beside_load(seed: u64, scenario: impl AsyncFnOnce(&Cluster, SocketAddr)) {
    let cluster = Cluster::start(ClusterOptions::DEFAULT).await;
    let load = Load::start(&cluster, seed).await;
    scenario(&cluster, cluster.entry_address(0)).await;
    load.wait_for_progress().await;
    let records = stop_and_verify(load, &cluster, &[]).await;
    assert!(records.iter().all(Record::is_complete));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_tokens_and_bodies() {
    run_beside_load(61, async |cluster, address| {
        let job = json!({ "service": SERVICE, "tasks": [1] });
        let reply = post_job(address, OPERATOR_TOKEN, &job).await;
        assert_that!(reply.status, eq(403));
        assert_that!(refusal_reason(&reply.body), eq(FailureReason::Forbidden));
        for token in ["", "unknown", cluster.secret.as_str()] {
            let reply = post_job(address, token, &job).await;
            assert_that!(reply.status, eq(401), "{token}");
            assert_that!(refusal_reason(&reply.body), eq(FailureReason::UnknownToken));
        }
        let large = json!({ "service": SERVICE, "tasks": ["x".repeat(100 << 10)] });
        let reply = post_job(address, GROUP_TOKEN, &large).await;
        assert_that!(reply.status, eq(413));
        assert_that!(refusal_reason(&reply.body), eq(FailureReason::TooLarge));
        let malformed_bodies = ["{", "null", "\u{1}", "{\"service\":\"price\",\"tasks\":1}"];
        for body in malformed_bodies {
            let call = Call {
                body: body.into(),
                ..Call::post(JOBS, GROUP_TOKEN, &Value::Null)
            };
            let reply = call.send(address).await.unwrap();
            assert_that!(reply.status, eq(400), "{body}");
            assert_that!(refusal_reason(&reply.body), eq(FailureReason::BadRequest));
        }
        for token in [GROUP_TOKEN, "unknown"] {
            let reply = Call::post("/v1/config", token, &json!({}))
                .send(address)
                .await;
            assert_that!(reply.unwrap().status, eq(403));
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_stalled_requests() {
    run_beside_load(62, async |_, address| {
        let partial = format!("{}{{\"service\":", request_head("content-length: 1000\r\n"));
        let truncated = send_raw(address, &partial, AfterWrite::HalfClose).await;
        if !truncated.is_empty() {
            assert_that!(
                raw_refusal_reason(&truncated),
                eq(FailureReason::BadRequest)
            );
        }
        let stalled_body = send_raw(address, &partial, AfterWrite::Stall).await;
        assert_that!(
            raw_refusal_reason(&stalled_body),
            eq(FailureReason::BodyTimeout)
        );
        let stalled_head = send_raw(
            address,
            "POST /v1/jobs HTTP/1.1\r\nhost: ",
            AfterWrite::Stall,
        )
        .await;
        println!("response to an incomplete request head: {stalled_head:?}");
        let many_headers = send_raw(
            address,
            &request_head(&"x: 1\r\n".repeat(100)),
            AfterWrite::HalfClose,
        )
        .await;
        assert_that!(many_headers, starts_with("HTTP/1.1 431"));
        let nonsense = send_raw(address, "\u{1}\u{2}\r\n\r\n", AfterWrite::HalfClose).await;
        assert_that!(nonsense, starts_with("HTTP/1.1 400"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_stalled_requests_at_once() {
    run_beside_load(63, async |_, address| {
        let partial = request_head("content-length: 1000\r\n");
        let writers = (0..100).map(|_| {
            let partial = partial.clone();
            tokio::spawn(async move { send_raw(address, &partial, AfterWrite::Stall).await })
        });
        for writer in writers.collect::<Vec<_>>() {
            let answer = writer.await.unwrap();
            assert_that!(raw_refusal_reason(&answer), eq(FailureReason::BodyTimeout));
        }
    })
    .await;
}

const FEW_CONNECTIONS: ClusterOptions = ClusterOptions {
    max_connections: 20,
    ..ClusterOptions::DEFAULT
};

async fn open_all_connections(address: SocketAddr) -> Vec<TcpStream> {
    let connect = (0..FEW_CONNECTIONS.max_connections).map(|_| TcpStream::connect(address));
    let mut open = Vec::new();
    for connection in connect {
        open.push(connection.await.unwrap());
    }
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit() {
    let cluster = Cluster::start(FEW_CONNECTIONS).await;
    let address = cluster.entry_address(0);
    let connections = open_all_connections(address).await;
    let body = json!({ "service": SERVICE, "tasks": [{ "echo": 1 }] });
    let reply = post_job(address, GROUP_TOKEN, &body).await;
    assert_that!(reply.status, eq(429));
    assert_that!(refusal_reason(&reply.body), eq(FailureReason::Overloaded));
    drop(connections);
    wait_until("connections are free again", async || {
        post_job(address, GROUP_TOKEN, &body).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_hold_the_limit() {
    let cluster = Cluster::start(FEW_CONNECTIONS).await;
    let address = cluster.entry_address(0);
    let connections = open_all_connections(address).await;
    let body = json!({ "service": SERVICE, "tasks": [{ "echo": 1 }] });
    wait_until("connections are free again", async || {
        post_job(address, GROUP_TOKEN, &body).await.status == 200
    })
    .await;
    drop(connections);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_with_the_wrong_secret_gets_no_session() {
    run_beside_load(64, async |cluster, _| {
        let agent = cluster.spawn_unauthorized_agent("some-other-secret-of-16-bytes");
        wait_until("the agent is rejected", async || {
            agent.log_text().contains("dial_failed")
        })
        .await;
        pause_ms(1_000).await;
        let status = cluster.status(0).await.unwrap();
        let targets = status["targets"].as_array().unwrap().clone();
        assert!(
            targets
                .iter()
                .all(|target| target["agent"] != "unauthorized")
        );
        assert_that!(agent.log_text(), contains_substring("session_secret"));
    })
    .await;
}
