//! The stand-in for a target runs tasks, logs every start, and announces itself.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::post as on_post;
use common::exchange;
use common::get;
use common::post;
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

/// Time in which nothing is to happen.
const QUIET: Duration = Duration::from_millis(200);

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

async fn target() -> TargetStandin {
    TargetStandin::spawn(options(None)).await.unwrap()
}

async fn run(target: &TargetStandin, body: Value) -> (StatusCode, Value) {
    let reply = exchange(target.address(), Method::POST, "/desk", &body).await;
    reply.unwrap()
}

#[tokio::test]
async fn a_task_is_run_and_its_start_logged() {
    let target = target().await;
    let (status, answer) = run(&target, json!({"echo": [1], "run_ms": 1, "n": 7})).await;
    assert_that!(status, eq(StatusCode::OK));
    assert_that!(answer, eq(&json!({"ok": true, "echo": [1]})));
    let starts = target.starts().all();
    assert_that!(starts, len(eq(1)));
    assert_that!(starts[0].service.as_str(), eq("desk"));
    assert_that!(starts[0].body["n"], eq(&json!(7)));
}

#[tokio::test]
async fn a_task_may_ask_to_fail() {
    let target = target().await;
    let (status, answer) = run(&target, json!({"fail": true})).await;
    assert_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(answer["ok"], eq(&json!(false)));
}

#[tokio::test]
async fn duplicates_are_visible() {
    let target = target().await;
    for n in [1, 2, 1, 1] {
        run(&target, json!({ "n": n })).await;
    }
    let control = target.control_address();
    let duplicates = get(control, "/control/duplicates").await;
    assert_that!(duplicates, eq(&json!({"{\"n\":1}": 3})));
    let starts = get(target.address(), "/control/starts").await;
    assert_that!(starts.as_array(), some(len(eq(4))));
}

#[tokio::test]
async fn a_failing_target_starts_and_fails() {
    let target = target().await;
    let command = json!({"behaviour": "fail"});
    post(target.control_address(), "/control", &command).await;
    let (status, _) = run(&target, json!({})).await;
    assert_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(target.starts().count(), eq(1));
}

#[tokio::test]
async fn a_slow_target_answers() {
    let target = target().await;
    let command = json!({"behaviour": {"slow_by": 2.0}});
    let state = post(target.control_address(), "/control", &command).await;
    assert_that!(state["behaviour"], eq(&json!({"slow_by": 2.0})));
    let (status, _) = run(&target, json!({"run_ms": 5})).await;
    assert_that!(status, eq(StatusCode::OK));
}

#[tokio::test]
async fn a_silent_target_starts_and_does_not_answer() {
    let target = target().await;
    target.set_behaviour(Behaviour::Silent).await;
    let address = target.address();
    let body = json!({});
    let answer = tokio::spawn(async move { exchange(address, Method::POST, "/desk", &body).await });
    while target.starts().count() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(QUIET).await;
    assert_that!(answer.is_finished(), eq(false));
    assert_that!(target.running(), eq(1));
}

#[tokio::test]
async fn a_refusing_target_starts_nothing() {
    let target = target().await;
    target.set_behaviour(Behaviour::Refuse).await;
    let refused = exchange(target.address(), Method::POST, "/desk", &json!({})).await;
    assert_that!(refused.unwrap_err().is_connect(), eq(true));
    assert_that!(target.starts().count(), eq(0));
    target.set_behaviour(Behaviour::Normal).await;
    let (status, _) = run(&target, json!({})).await;
    assert_that!(status, eq(StatusCode::OK));
}

/// What an agent has heard, in order.
#[derive(Debug)]
enum Heard {
    Announcement(Announcement),
    Goodbye(Value),
}

type Heards = Arc<mpsc::UnboundedSender<Heard>>;

async fn announced(State(heard): State<Heards>, Json(body): Json<Announcement>) {
    heard.send(Heard::Announcement(body)).unwrap();
}

async fn parted(State(heard): State<Heards>, Json(body): Json<Value>) {
    heard.send(Heard::Goodbye(body)).unwrap();
}

/// An agent that only listens.
async fn agent() -> (SocketAddr, mpsc::UnboundedReceiver<Heard>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let router = Router::new()
        .route("/v1/target/announce", on_post(announced))
        .route("/v1/target/goodbye", on_post(parted))
        .with_state(Arc::new(sender));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, receiver)
}

#[tokio::test]
async fn a_target_announces_itself_until_its_goodbye() {
    let (agent, mut heard) = agent().await;
    let target = TargetStandin::spawn(options(Some(agent))).await.unwrap();
    for _ in 0..3 {
        let Some(Heard::Announcement(announcement)) = heard.recv().await else {
            panic!("an announcement was expected");
        };
        assert_that!(announcement.address, eq(target.address()));
        assert_that!(announcement.offer.target.as_str(), eq("t1"));
    }
    target.goodbye().await.unwrap();
    // Heartbeats that were sent before the goodbye come first, and nothing comes after it.
    loop {
        match heard.recv().await.unwrap() {
            Heard::Announcement(_) => {}
            Heard::Goodbye(body) => {
                assert_that!(body, eq(&json!({"target": "t1"})));
                break;
            }
        }
    }
    tokio::time::sleep(QUIET).await;
    assert_that!(heard.try_recv().is_err(), eq(true));
}

#[tokio::test]
async fn a_goodbye_to_no_agent_is_an_error() {
    let reply = target().await.goodbye().await;
    assert_that!(reply.is_err(), eq(true));
}
