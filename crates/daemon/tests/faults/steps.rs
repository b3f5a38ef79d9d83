//! Crashes and stalls at exact steps of a task, by fail points.

use crate::support::Cluster;
use crate::support::Load;
use crate::support::pause_ms;
use crate::support::under_load;

/// Longer than every lease of a test cluster.
const STALL_MS: u64 = 2_500;
const ENTRY_STEPS: [&str; 5] = [
    "entry-accepted",
    "entry-place",
    "entry-report-read",
    "entry-acknowledge",
    "entry-answer",
];
const AGENT_STEPS: [&str; 6] = [
    "agent-placement-read",
    "agent-start",
    "agent-started",
    "agent-ended",
    "agent-report",
    "agent-acknowledged",
];

/// Times that a step is passed before it fails.
const PASSES: u32 = 25;

async fn fail_entry(cluster: &mut Cluster, load: &Load, points: &str) {
    cluster.replace_entry_with(0, points).await;
    load.moved(0, cluster.entry_address(0));
}

async fn replace_entry(cluster: &mut Cluster, load: &Load) {
    fail_entry(cluster, load, "").await;
    cluster.recovered().await;
}

fn crash_at(step: &str) -> String {
    format!("{step}={PASSES}*off->panic")
}

fn stall_at(step: &str) -> String {
    format!("{step}={PASSES}*off->1*sleep({STALL_MS})->off")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_crashes_at_each_step() {
    under_load(71, &[0], async |cluster, load| {
        for step in ENTRY_STEPS {
            fail_entry(cluster, load, &crash_at(step)).await;
            cluster.entries[0].daemon.ended().await;
            replace_entry(cluster, load).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_crashes_at_each_step() {
    under_load(72, &[], async |cluster, load| {
        for step in AGENT_STEPS {
            cluster.replace_agent_with(0, &crash_at(step)).await;
            cluster.agents[0].daemon.ended().await;
            cluster.replace_agent(0).await;
            load.flows().await;
        }
    })
    .await;
}

/// The connections of a stalled process live on, while its decisions stand still.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stalls_at_each_step() {
    under_load(73, &[0], async |cluster, load| {
        for step in ENTRY_STEPS {
            fail_entry(cluster, load, &stall_at(step)).await;
            load.flows().await;
            pause_ms(STALL_MS).await;
            cluster.recovered().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_stalls_at_each_step() {
    under_load(74, &[], async |cluster, load| {
        for step in AGENT_STEPS {
            cluster.replace_agent_with(0, &stall_at(step)).await;
            load.flows().await;
            pause_ms(STALL_MS).await;
            cluster.recovered().await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agent_crash_at_steps_of_the_same_task() {
    under_load(75, &[0], async |cluster, load| {
        for (entry, agent) in [
            ("entry-report-read", "agent-report"),
            ("entry-acknowledge", "agent-acknowledged"),
            ("entry-place", "agent-start"),
        ] {
            cluster.replace_agent_with(0, &crash_at(agent)).await;
            fail_entry(cluster, load, &crash_at(entry)).await;
            cluster.agents[0].daemon.ended().await;
            cluster.entries[0].daemon.ended().await;
            cluster.replace_agent(0).await;
            replace_entry(cluster, load).await;
        }
    })
    .await;
}
