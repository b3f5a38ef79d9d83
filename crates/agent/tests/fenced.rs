//! The driver of a target that checks fencing tokens and leases, without the target.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use dfs_agent::Agent;
use dfs_agent::BoxFuture;
use dfs_agent::FencedTarget;
use dfs_agent::RunRequest;
use dfs_agent::TargetClient;
use dfs_conf::AgentSettings;
use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::Millis;
use dfs_ids::TakeoverNumber;
use dfs_ids::TaskIndex;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::PollRequest;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunSnapshot;
use dfs_policy::runs::RunsOptions;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use dfs_policy::runs::TargetTime;
use dfs_policy::runs::TaskSpec;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskRef;
use googletest::prelude::*;
use serde_json::value::RawValue;

/// A client that takes no body for a task of its target.
struct PickyClient;

impl TargetClient for PickyClient {
    fn start(&self, _: &StartRequest) -> BoxFuture<RequestOutcome> {
        Box::pin(std::future::pending())
    }

    fn stop(&self, _: StopRequest) -> BoxFuture<RequestOutcome> {
        Box::pin(std::future::pending())
    }

    fn poll(&self, _: &PollRequest) -> BoxFuture<PollOutcome> {
        Box::pin(std::future::pending())
    }

    fn parse_task_spec(&self, _: &RawValue) -> Option<TaskSpec> {
        None
    }
}

/// A client of a target that runs nothing and has seen this token.
struct IdleTarget {
    seen: FencingToken,
}

impl TargetClient for IdleTarget {
    fn start(&self, _: &StartRequest) -> BoxFuture<RequestOutcome> {
        Box::pin(std::future::pending())
    }

    fn stop(&self, _: StopRequest) -> BoxFuture<RequestOutcome> {
        Box::pin(std::future::pending())
    }

    fn poll(&self, poll: &PollRequest) -> BoxFuture<PollOutcome> {
        let outcome = if poll.token < self.seen {
            PollOutcome::Fenced
        } else {
            PollOutcome::Runs(RunSnapshot {
                clock: TargetTime(1),
                incarnation: None,
                running: Vec::new(),
                ended: Vec::new(),
                is_complete: true,
            })
        };
        Box::pin(std::future::ready(outcome))
    }

    fn parse_task_spec(&self, _: &RawValue) -> Option<TaskSpec> {
        Some(TaskSpec {
            name: "s/0".into(),
            payload: "{}".into(),
        })
    }
}

const OPTIONS: RunsOptions = RunsOptions {
    run_lease_ms: Millis::new(800),
    max_lease_ms: Millis::new(1_000),
    stop_ms: Millis::new(50),
    poll_wait_ms: Millis::new(250),
    heartbeat_lease_ms: Millis::new(4_500),
    resubmit_ms: None,
};

fn run_request() -> RunRequest {
    RunRequest {
        task: TaskRef {
            submission: "s".parse().unwrap(),
            task: TaskIndex::new(0),
            attempt: Attempt::new(0),
        },
        service: "desk".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        declared_ms: Millis::default(),
        label: None,
        time_left: Duration::from_secs(1),
        body: Arc::from(RawValue::from_string("{}".to_owned()).unwrap()),
    }
}

/// Number with which an agent attaches whose first token is 5.
fn takeover_number(client: impl TargetClient + 'static) -> Option<TakeoverNumber> {
    let target = FencedTarget::new(OPTIONS, FencingToken(5), Arc::new(client));
    let mut adapter = target.into_adapter(|_| Router::new(), None);
    let none = Box::pin(std::future::ready(None));
    let takeover_complete = std::mem::replace(&mut adapter.takeover_complete, none);
    let agent: AgentId = "agent".parse().unwrap();
    let metrics = Metrics::new(None, &ProcessName::Agent(agent.clone())).unwrap();
    let settings = AgentSettings::new(
        agent,
        "lagos".parse().unwrap(),
        ([127, 0, 0, 1], 0).into(),
        Vec::new(),
        "secret-of-the-tests".to_owned(),
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let started = Agent::start_with_adapter(settings, metrics, adapter).await;
        started.unwrap();
        takeover_complete.await
    })
}

#[googletest::test]
fn an_agent_attaches_with_the_token_of_the_list_that_completed_its_takeover() {
    let number = |seen| takeover_number(IdleTarget { seen });
    expect_that!(number(FencingToken(3)), some(eq(TakeoverNumber::new(5))));
    expect_that!(number(FencingToken(6)), some(eq(TakeoverNumber::new(6))));
}

#[googletest::test]
fn an_agent_whose_target_did_not_answer_attaches_without_a_takeover_number() {
    expect_that!(takeover_number(PickyClient), none());
}

#[googletest::test]
fn a_body_that_is_no_task_of_the_target_ends_as_not_started_instead_of_failed() {
    let target = FencedTarget::new(OPTIONS, FencingToken(1), Arc::new(PickyClient));
    let adapter = target.into_adapter(|_| Router::new(), None);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let (_, end) = runtime.block_on(adapter.driver.start(run_request()));
    let is_not_started = matches!(end, RunEnd::NotStarted(NotRunReason::NotOffered));
    expect_true!(is_not_started);
}

/// The run may go on, so the task must not be placed again.
#[googletest::test]
fn a_run_is_not_reported_as_not_started_when_the_loop_that_tracks_it_has_ended() {
    let client = IdleTarget {
        seen: FencingToken(0),
    };
    let target = FencedTarget::new(OPTIONS, FencingToken(1), Arc::new(client));
    let adapter = target.into_adapter(|_| Router::new(), None);
    drop(adapter.router);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let end = adapter.driver.start(run_request());
    let waited =
        runtime.block_on(async { tokio::time::timeout(Duration::from_millis(50), end).await });
    expect_true!(waited.is_err());
}
