//! Graceful stops and settings reloads while work is open.

use std::time::Duration;
use std::time::Instant;

use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::support::Call;
use crate::support::CallError;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::Load;
use crate::support::Record;
use crate::support::Reply;
use crate::support::SERVICE;
use crate::support::Signal;
use crate::support::stop_and_verify;
use crate::support::wait_until;

const EXIT_UNFINISHED: i32 = 3;

/// Few slots, so that tasks queue at the agents and at the entries.
const FEW_SLOTS: ClusterOptions = ClusterOptions {
    slots: 2,
    ..ClusterOptions::DEFAULT
};

/// Posts a request to entry 0 and waits until its task has started.
async fn start_long_request(
    cluster: &Cluster,
    run_ms: u64,
) -> JoinHandle<Result<Reply, CallError>> {
    let initial_starts = cluster.start_count();
    let address = cluster.entry_address(0);
    let request = tokio::spawn(async move {
        let task = json!({ "run_ms": run_ms, "echo": "long" });
        let body = json!({ "service": SERVICE, "body": task });
        Call::post("/v1/requests", GROUP_TOKEN, &body)
            .send(address)
            .await
    });
    wait_until("the task runs", async || {
        cluster.start_count() > initial_starts
    })
    .await;
    request
}

#[tokio::test(flavor = "multi_thread")]
async fn of_an_entry_cuts_nothing() {
    let mut cluster = Cluster::start(FEW_SLOTS).await;
    let load = Load::start(&cluster, 31).await;
    for _ in 0..2 {
        let request = start_long_request(&cluster, 1_500).await;
        cluster.entries[0].daemon.signal(Signal::Terminate);
        let status = cluster.entries[0].daemon.wait_for_exit().await;
        assert_that!(status.code(), some(eq(0)));
        let answer = request.await.unwrap().unwrap();
        assert_that!(answer.body["results"][0]["echo"], eq(&json!("long")));
        load.wait_for_progress().await;
        cluster.replace_entry(0).await;
        load.set_entry_address(0, cluster.entry_address(0));
        cluster.wait_until_recovered().await;
    }
    let records = stop_and_verify(load, &cluster, &[]).await;
    let is_expected = |r: &&Record| r.is_complete() || is_refused_while_stopping(r);
    let unexpected: Vec<_> = records.iter().filter(|r| !is_expected(r)).collect();
    assert_that!(unexpected, is_empty());
}

/// Whether an entry that is about to stop refused the submission or the connection.
fn is_refused_while_stopping(record: &Record) -> bool {
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
    let mut cluster = Cluster::start(FEW_SLOTS).await;
    let load = Load::start(&cluster, 32).await;
    for agent in [0, 1, 0] {
        cluster.agents[agent].daemon.signal(Signal::Terminate);
        let status = cluster.agents[agent].daemon.wait_for_exit().await;
        assert_that!(status.code(), some(eq(0)));
        load.wait_for_progress().await;
        cluster.replace_agent(agent).await;
        cluster.wait_until_recovered().await;
    }
    let records = stop_and_verify(load, &cluster, &[]).await;
    let unexpected: Vec<_> = records.iter().filter(|r| !r.is_complete()).collect();
    assert_that!(unexpected, is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn of_any_process_is_immediate_on_a_second_signal() {
    let mut cluster = Cluster::start(ClusterOptions {
        run_timeout_ms: 60_000,
        drain_ms: 60_000,
        ..ClusterOptions::DEFAULT
    })
    .await;
    let request = start_long_request(&cluster, 29_000).await;
    let agents = cluster.agents.iter_mut().map(|agent| &mut agent.daemon);
    let entries = cluster.entries.iter_mut().map(|entry| &mut entry.daemon);
    let mut exit_codes = Vec::new();
    let mut with_open_work = 0;
    for daemon in entries.chain(agents) {
        daemon.signal(Signal::Terminate);
        wait_until("the daemon logs the stop request", async || {
            daemon.log_text().contains("stop_requested")
        })
        .await;
        let signalled = Instant::now();
        daemon.signal(Signal::Terminate);
        let status = daemon.wait_for_exit().await;
        assert_that!(signalled.elapsed(), lt(Duration::from_secs(10)));
        with_open_work += usize::from(daemon.log_text().contains("second_signal open=1"));
        exit_codes.push(status.code().unwrap());
    }
    assert_that!(exit_codes, contains(eq(&EXIT_UNFINISHED)));
    // The entry with the open submission, and the agent with its running task.
    assert_that!(with_open_work, eq(2));
    assert!(
        exit_codes
            .iter()
            .all(|code| [0, EXIT_UNFINISHED].contains(code))
    );
    request.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn of_an_entry_answers_open_requests_at_the_drain_timeout() {
    let options = ClusterOptions {
        drain_ms: 1_500,
        run_timeout_ms: 60_000,
        ..ClusterOptions::DEFAULT
    };
    let mut cluster = Cluster::start(options).await;
    let request = start_long_request(&cluster, 20_000).await;
    cluster.entries[0].daemon.signal(Signal::Terminate);
    let status = cluster.entries[0].daemon.wait_for_exit().await;
    assert_that!(status.code(), some(eq(EXIT_UNFINISHED)));
    let text = cluster.entries[0].daemon.log_text();
    assert_that!(
        text,
        contains_substring("stop_bound_passed drain_ms=1500 open=1")
    );
    let failure = request.await.unwrap().unwrap().body["failure"].clone();
    assert_that!(failure["reason"], eq(&json!("outcome_unknown")));
    assert_that!(failure["not_run"], eq(&json!(false)));
    assert_that!(failure["may_have_run"], eq(&json!([0])));
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_on_hangup_loses_no_work() {
    let cluster = Cluster::start(FEW_SLOTS).await;
    let entry = &cluster.entries[0].daemon;
    let request = start_long_request(&cluster, 800).await;
    let settings = entry.read_settings();
    entry.write_settings("{");
    entry.signal(Signal::Hangup);
    wait_until("the invalid settings are rejected", async || {
        entry.log_text().contains(" 102 settings_rejected ")
    })
    .await;
    let log_settings = json!({ "level": "debug" });
    let mut changed: serde_json::Value = serde_json::from_str(&settings).unwrap();
    changed["log"] = log_settings;
    entry.write_settings(&changed.to_string());
    entry.signal(Signal::Hangup);
    wait_until("the changed settings are in force", async || {
        entry
            .log_text()
            .contains(" 111 settings_reloaded level=debug")
    })
    .await;
    let answer = request.await.unwrap().unwrap();
    assert_that!(answer.body["results"][0]["echo"], eq(&json!("long")));
}
