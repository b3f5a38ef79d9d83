//! Crashes and stalls at exact steps in the life of a task, triggered by fail points.

use crate::support::Cluster;
use crate::support::Load;
use crate::support::pause_ms;
use crate::support::run_under_load;

/// Longer than every lease of a test cluster.
const STALL_MS: u64 = 2_500;
const ENTRY_FAIL_POINTS: [&str; 5] = [
    "entry-accepted",
    "entry-place",
    "entry-report-read",
    "entry-acknowledge",
    "entry-answer",
];
const AGENT_FAIL_POINTS: [&str; 6] = [
    "agent-placement-read",
    "agent-start",
    "agent-started",
    "agent-ended",
    "agent-report",
    "agent-acknowledged",
];

/// How often a fail point is passed before it triggers.
const PASSES_BEFORE_FAILURE: u32 = 25;

async fn replace_entry_with_fail_points(cluster: &mut Cluster, load: &Load, fail_points: &str) {
    cluster.replace_entry_with_fail_points(0, fail_points).await;
    load.set_entry_address(0, cluster.entry_address(0));
}

async fn restore_entry(cluster: &mut Cluster, load: &Load) {
    replace_entry_with_fail_points(cluster, load, "").await;
    cluster.wait_until_recovered().await;
}

fn crash_at(fail_point: &str) -> String {
    format!("{fail_point}={PASSES_BEFORE_FAILURE}*off->panic")
}

fn stall_at(fail_point: &str) -> String {
    format!("{fail_point}={PASSES_BEFORE_FAILURE}*off->1*sleep({STALL_MS})->off")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_crashes_at_each_step() {
    run_under_load(71, &[0], async |cluster, load| {
        for fail_point in ENTRY_FAIL_POINTS {
            replace_entry_with_fail_points(cluster, load, &crash_at(fail_point)).await;
            cluster.entries[0].daemon.wait_for_exit().await;
            restore_entry(cluster, load).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_crashes_at_each_step() {
    run_under_load(72, &[], async |cluster, load| {
        for fail_point in AGENT_FAIL_POINTS {
            cluster
                .replace_agent_with_fail_points(0, &crash_at(fail_point))
                .await;
            cluster.agents[0].daemon.wait_for_exit().await;
            cluster.replace_agent(0).await;
            load.wait_for_progress().await;
        }
    })
    .await;
}

/// A stalled process keeps its connections open while it makes no decisions.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stalls_at_each_step() {
    run_under_load(73, &[0], async |cluster, load| {
        for fail_point in ENTRY_FAIL_POINTS {
            replace_entry_with_fail_points(cluster, load, &stall_at(fail_point)).await;
            load.wait_for_progress().await;
            pause_ms(STALL_MS).await;
            cluster.wait_until_recovered().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_stalls_at_each_step() {
    run_under_load(74, &[], async |cluster, load| {
        for fail_point in AGENT_FAIL_POINTS {
            cluster
                .replace_agent_with_fail_points(0, &stall_at(fail_point))
                .await;
            load.wait_for_progress().await;
            pause_ms(STALL_MS).await;
            cluster.wait_until_recovered().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agent_crash_at_steps_of_the_same_task() {
    run_under_load(75, &[0], async |cluster, load| {
        for (entry, agent) in [
            ("entry-report-read", "agent-report"),
            ("entry-acknowledge", "agent-acknowledged"),
            ("entry-place", "agent-start"),
        ] {
            cluster
                .replace_agent_with_fail_points(0, &crash_at(agent))
                .await;
            replace_entry_with_fail_points(cluster, load, &crash_at(entry)).await;
            cluster.agents[0].daemon.wait_for_exit().await;
            cluster.entries[0].daemon.wait_for_exit().await;
            cluster.replace_agent(0).await;
            restore_entry(cluster, load).await;
        }
    })
    .await;
}
