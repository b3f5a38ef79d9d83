//! Tests of the target stand-in: running tasks, the start log, behaviours and announcements.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::post as on_post;
use common::get;
use common::post;
use common::send_request;
use dfs_ids::Millis;
use dfs_ids::Slots;
use dfs_standin::Behaviour;
use dfs_standin::TargetOptions;
use dfs_standin::TargetStandin;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// How long a test waits to see that nothing happens.
const SETTLE_TIME: Duration = Duration::from_millis(200);

fn options(agent: Option<SocketAddr>) -> TargetOptions {
    let offer = Offer {
        target: "t1".parse().unwrap(),
        services: vec!["desk".parse().unwrap()],
        slots: Slots::new(8),
        connections: 64,
        resources: Resources::default(),
        labels: Vec::new(),
    };
    TargetOptions {
        lease_ms: Millis::new(60),
        ..TargetOptions::new(agent, offer)
    }
}

async fn spawn_target() -> TargetStandin {
    TargetStandin::spawn(options(None)).await.unwrap()
}

async fn run_task(target: &TargetStandin, body: Value) -> (StatusCode, Value) {
    let reply = send_request(target.address(), Method::POST, "/desk", &body).await;
    reply.unwrap()
}

#[tokio::test]
async fn a_task_is_run_and_its_start_logged() {
    let target = spawn_target().await;
    let (status, reply) = run_task(&target, json!({"echo": [1], "run_ms": 1, "n": 7})).await;
    assert_that!(status, eq(StatusCode::OK));
    assert_that!(reply, eq(&json!({"ok": true, "echo": [1]})));
    let starts = target.starts().all();
    assert_that!(starts, len(eq(1)));
    assert_that!(starts[0].service.as_str(), eq("desk"));
    assert_that!(starts[0].body["n"], eq(&json!(7)));
}

#[tokio::test]
async fn a_task_with_the_fail_flag_fails() {
    let target = spawn_target().await;
    let (status, reply) = run_task(&target, json!({"fail": true})).await;
    assert_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(reply["ok"], eq(&json!(false)));
}

#[tokio::test]
async fn duplicate_starts_are_reported() {
    let target = spawn_target().await;
    for n in [1, 2, 1, 1] {
        run_task(&target, json!({ "n": n })).await;
    }
    let control = target.control_address();
    let duplicates = get(control, "/control/duplicates").await;
    assert_that!(duplicates, eq(&json!({"{\"n\":1}": 3})));
    let starts = get(target.address(), "/control/starts").await;
    assert_that!(starts.as_array(), some(len(eq(4))));
}

#[tokio::test]
async fn a_failing_target_logs_the_start_and_replies_with_an_error() {
    let target = spawn_target().await;
    let command = json!({"behaviour": "fail"});
    post(target.control_address(), "/control", &command).await;
    let (status, _) = run_task(&target, json!({})).await;
    assert_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(target.starts().count(), eq(1));
}

#[tokio::test]
async fn a_slow_target_completes_tasks() {
    let target = spawn_target().await;
    let command = json!({"behaviour": {"slow_by": 2.0}});
    let state = post(target.control_address(), "/control", &command).await;
    assert_that!(state["behaviour"], eq(&json!({"slow_by": 2.0})));
    let (status, _) = run_task(&target, json!({"run_ms": 5})).await;
    assert_that!(status, eq(StatusCode::OK));
}

#[tokio::test]
async fn a_silent_target_logs_the_start_and_never_replies() {
    let target = spawn_target().await;
    target.set_behaviour(Behaviour::Silent).await;
    let address = target.address();
    let body = json!({});
    let reply =
        tokio::spawn(async move { send_request(address, Method::POST, "/desk", &body).await });
    while target.starts().count() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    assert_that!(reply.is_finished(), eq(false));
    assert_that!(target.running(), eq(1));
}

#[tokio::test]
async fn a_refusing_target_starts_nothing() {
    let target = spawn_target().await;
    target.set_behaviour(Behaviour::Refuse).await;
    let refused = send_request(target.address(), Method::POST, "/desk", &json!({})).await;
    assert_that!(refused.unwrap_err().is_connect(), eq(true));
    assert_that!(target.starts().count(), eq(0));
    target.set_behaviour(Behaviour::Normal).await;
    let (status, _) = run_task(&target, json!({})).await;
    assert_that!(status, eq(StatusCode::OK));
}

/// A message that the agent received.
#[derive(Debug)]
enum AgentMessage {
    Announcement(Announcement),
    Goodbye(Value),
}

type MessageSender = Arc<mpsc::UnboundedSender<AgentMessage>>;

async fn receive_announcement(
    State(messages): State<MessageSender>,
    Json(body): Json<Announcement>,
) {
    messages.send(AgentMessage::Announcement(body)).unwrap();
}

async fn receive_goodbye(State(messages): State<MessageSender>, Json(body): Json<Value>) {
    messages.send(AgentMessage::Goodbye(body)).unwrap();
}

/// Starts an agent that only records the messages it receives.
async fn spawn_agent() -> (SocketAddr, mpsc::UnboundedReceiver<AgentMessage>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let router = Router::new()
        .route("/v1/target/announce", on_post(receive_announcement))
        .route("/v1/target/goodbye", on_post(receive_goodbye))
        .with_state(Arc::new(sender));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, receiver)
}

#[tokio::test]
async fn a_target_announces_itself_until_its_goodbye() {
    let (agent, mut messages) = spawn_agent().await;
    let target = TargetStandin::spawn(options(Some(agent))).await.unwrap();
    for _ in 0..3 {
        let Some(AgentMessage::Announcement(announcement)) = messages.recv().await else {
            panic!("expected an announcement");
        };
        assert_that!(announcement.address, eq(target.address()));
        assert_that!(announcement.offer.target.as_str(), eq("t1"));
    }
    target.goodbye().await.unwrap();
    // Heartbeats sent before the goodbye may still be queued; nothing may follow the goodbye.
    loop {
        match messages.recv().await.unwrap() {
            AgentMessage::Announcement(_) => {}
            AgentMessage::Goodbye(body) => {
                assert_that!(body, eq(&json!({"target": "t1"})));
                break;
            }
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    assert_that!(messages.try_recv().is_err(), eq(true));
}

#[tokio::test]
async fn a_goodbye_without_an_agent_is_an_error() {
    let reply = spawn_target().await.goodbye().await;
    assert_that!(reply.is_err(), eq(true));
}
