//! Planned stops under full load.

use std::time::Duration;
use std::time::Instant;

use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::support::Call;
use crate::support::CallError;
use crate::support::Cluster;
use crate::support::GROUP_TOKEN;
use crate::support::Load;
use crate::support::Record;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::Shape;
use crate::support::Signal;
use crate::support::judge;
use crate::support::until;

const EXIT_CUT: i32 = 3;

/// Few slots, so that tasks queue at the agents and at the entries.
const FULL: Shape = Shape {
    slots: 2,
    ..Shape::DEFAULT
};

/// Posts a request to entry 0 and waits until it runs.
async fn long_request(cluster: &Cluster, run_ms: u64) -> JoinHandle<Result<Reply, CallError>> {
    let before = cluster.started();
    let to = cluster.entry_address(0);
    let posted = tokio::spawn(async move {
        let task = json!({ "run_ms": run_ms, "echo": "long" });
        let body = json!({ "service": SERVICE, "body": task });
        Call::post("/v1/requests", GROUP_TOKEN, &body)
            .send(to)
            .await
    });
    until("the task runs", async || cluster.started() > before).await;
    posted
}

#[tokio::test(flavor = "multi_thread")]
async fn of_an_entry_cuts_nothing() {
    let mut cluster = Cluster::start(FULL).await;
    let load = Load::start(&cluster, 31).await;
    for _ in 0..2 {
        let long = long_request(&cluster, 1_500).await;
        cluster.entries[0].daemon.signal(Signal::Terminate);
        let status = cluster.entries[0].daemon.ended().await;
        assert_that!(status.code(), some(eq(0)));
        let answer = long.await.unwrap().unwrap();
        assert_that!(answer.body["results"][0]["echo"], eq(&json!("long")));
        load.flows().await;
        cluster.replace_entry(0).await;
        load.moved(0, cluster.entry_address(0));
        cluster.recovered().await;
    }
    let records = judge(load, &cluster, &[]).await;
    let settled = |r: &&Record| r.is_complete() || is_turned_away(r);
    let cut: Vec<_> = records.iter().filter(|r| !settled(r)).collect();
    assert_that!(cut, is_empty());
}

/// A refusal by an entry that is about to stop.
fn is_turned_away(record: &Record) -> bool {
    match &record.answer {
        Ok(answer) => answer
            .failure
            .as_ref()
            .is_some_and(|f| f.reason == FailureReason::NotReady && f.not_run),
        Err(error) => *error == CallError::NotConnected,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_an_agent_cuts_nothing() {
    let mut cluster = Cluster::start(FULL).await;
    let load = Load::start(&cluster, 32).await;
    for agent in [0, 1, 0] {
        cluster.agents[agent].daemon.signal(Signal::Terminate);
        let status = cluster.agents[agent].daemon.ended().await;
        assert_that!(status.code(), some(eq(0)));
        load.flows().await;
        cluster.replace_agent(agent).await;
        cluster.recovered().await;
    }
    let records = judge(load, &cluster, &[]).await;
    let cut: Vec<_> = records.iter().filter(|r| !r.is_complete()).collect();
    assert_that!(cut, is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_at_once() {
    let mut cluster = Cluster::start(Shape {
        run_timeout_ms: 60_000,
        drain_ms: 60_000,
        ..Shape::DEFAULT
    })
    .await;
    let long = long_request(&cluster, 29_000).await;
    let agents = cluster.agents.iter_mut().map(|agent| &mut agent.daemon);
    let entries = cluster.entries.iter_mut().map(|entry| &mut entry.daemon);
    let mut stopped = Vec::new();
    let mut open = 0;
    for daemon in entries.chain(agents) {
        daemon.signal(Signal::Terminate);
        until("the stop begins", async || {
            daemon.log_text().contains("stop_requested")
        })
        .await;
        let asked = Instant::now();
        daemon.signal(Signal::Terminate);
        let status = daemon.ended().await;
        assert_that!(asked.elapsed(), lt(Duration::from_secs(10)));
        open += usize::from(daemon.log_text().contains("second_signal open=1"));
        stopped.push(status.code().unwrap());
    }
    assert_that!(stopped, contains(eq(&EXIT_CUT)));
    // The submission at its entry, and the task at its agent.
    assert_that!(open, eq(2));
    assert!(stopped.iter().all(|code| [0, EXIT_CUT].contains(code)));
    long.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_everybody_at_its_bound() {
    let shape = Shape {
        drain_ms: 1_500,
        run_timeout_ms: 60_000,
        ..Shape::DEFAULT
    };
    let mut cluster = Cluster::start(shape).await;
    let long = long_request(&cluster, 20_000).await;
    cluster.entries[0].daemon.signal(Signal::Terminate);
    let status = cluster.entries[0].daemon.ended().await;
    assert_that!(status.code(), some(eq(EXIT_CUT)));
    let text = cluster.entries[0].daemon.log_text();
    assert_that!(
        text,
        contains_substring("stop_bound_passed drain_ms=1500 open=1")
    );
    let failure = long.await.unwrap().unwrap().body["failure"].clone();
    assert_that!(failure["reason"], eq(&json!("outcome_unknown")));
    assert_that!(failure["not_run"], eq(&json!(false)));
    assert_that!(failure["may_have_run"], eq(&json!([0])));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_reads_the_settings_again_and_cuts_nothing() {
    let cluster = Cluster::start(FULL).await;
    let entry = &cluster.entries[0].daemon;
    let long = long_request(&cluster, 800).await;
    let settings = entry.settings();
    entry.change_settings("{");
    entry.signal(Signal::Hangup);
    until("the faulty file is refused", async || {
        entry.log_text().contains(" 102 settings_rejected ")
    })
    .await;
    let level = json!({ "level": "debug" });
    let mut changed: serde_json::Value = serde_json::from_str(&settings).unwrap();
    changed["log"] = level;
    entry.change_settings(&changed.to_string());
    entry.signal(Signal::Hangup);
    until("the changed file is in force", async || {
        entry
            .log_text()
            .contains(" 111 settings_reloaded level=debug")
    })
    .await;
    let answer = long.await.unwrap().unwrap();
    assert_that!(answer.body["results"][0]["echo"], eq(&json!("long")));
}
