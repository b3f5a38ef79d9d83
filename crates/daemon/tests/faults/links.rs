//! Links that are blocked in one or both directions, or reset, for longer than every lease, and
//! restored.

use googletest::prelude::*;
use serde_json::json;

use crate::support::Call;
use crate::support::Cluster;
use crate::support::ClusterOptions;
use crate::support::GROUP_TOKEN;
use crate::support::LinkState;
use crate::support::Load;
use crate::support::Relay;
use crate::support::SERVICE;
use crate::support::WAIT_TIMEOUT;
use crate::support::pause_ms;
use crate::support::run_under_load;
use crate::support::stop_and_verify;
use crate::support::wait_until;

/// Longer than every lease of a test cluster.
const OUTAGE_MS: u64 = 2_000;
const LEASE_MS: u64 = 1_000;
const RESET_MS: u64 = 100;
const MARGIN_MS: u64 = 500;
/// One slot per target, so that tasks queue at the agents.
const ONE_SLOT: ClusterOptions = ClusterOptions {
    slots: 1,
    ..ClusterOptions::DEFAULT
};
const DISRUPTIONS: [LinkState; 4] = [
    LinkState::ToServerBlocked,
    LinkState::ToClientBlocked,
    LinkState::Blocked,
    LinkState::Reset,
];

fn set_links(links: &[&Relay], state: LinkState) {
    for link in links {
        link.set_state(state);
    }
}

/// Disrupts all given links at once and restores them, with each kind of disruption in turn.
async fn disrupt_and_restore(links: &[&Relay], cluster: &Cluster, load: &Load) {
    for disruption in DISRUPTIONS {
        set_links(links, disruption);
        pause_ms(OUTAGE_MS).await;
        set_links(links, LinkState::Open);
        cluster.wait_until_recovered().await;
        load.wait_for_progress().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_and_entry() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let addresses = cluster.entries.iter().map(|e| e.caller_link.address);
    let load = Load::start_with_addresses(addresses.collect(), 11).await;
    disrupt_and_restore(&[&cluster.entries[0].caller_link], &cluster, &load).await;
    stop_and_verify(load, &cluster, &[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agents() {
    run_under_load(12, &[], async |cluster, load| {
        disrupt_and_restore(&[&cluster.entries[0].session_link], cluster, load).await;
    })
    .await;
}

/// A session that is restored within its lease loses no task: tasks that the agent did not read
/// are placed again, and results are sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_within_the_lease_costs_nothing() {
    let options = ClusterOptions {
        session_lease_ms: 10_000,
        ..ONE_SLOT
    };
    let cluster = Cluster::start(options).await;
    let load = Load::start(&cluster, 19).await;
    let links: Vec<_> = cluster.entries.iter().map(|e| &e.session_link).collect();
    for state in [
        LinkState::ToClientBlocked,
        LinkState::ToServerBlocked,
        LinkState::Blocked,
    ]
    .repeat(4)
    {
        let connections = links[0].accepted_connections();
        set_links(&links, state);
        pause_ms(RESET_MS).await;
        set_links(&links, LinkState::Reset);
        pause_ms(RESET_MS).await;
        set_links(&links, LinkState::Open);
        load.wait_for_progress().await;
        assert_that!(
            links[0].accepted_connections(),
            ge(connections + cluster.agents.len())
        );
    }
    cluster.wait_until_recovered().await;
    let records = stop_and_verify(load, &cluster, &[]).await;
    let incomplete: Vec<_> = records.iter().filter(|r| !r.is_complete()).collect();
    assert_that!(incomplete, is_empty());
}

/// Each task of the job outlasts the session lease, so no queued task may start after the first one
/// on its target.
#[tokio::test(flavor = "multi_thread")]
async fn queued_tasks_wait_while_no_entry_has_a_lease() {
    let cluster = Cluster::start(ONE_SLOT).await;
    let address = cluster.entry_address(0);
    let initial_starts = cluster.start_count();
    let job = tokio::spawn(async move {
        let task = json!({ "run_ms": LEASE_MS + MARGIN_MS, "echo": 1 });
        let body = json!({ "service": SERVICE, "tasks": vec![task; 12] });
        Call::post("/v1/jobs", GROUP_TOKEN, &body)
            .send(address)
            .await
    });
    wait_until("the first tasks run", async || {
        cluster.start_count() >= initial_starts + ONE_SLOT.agents
    })
    .await;
    let links: Vec<_> = cluster.entries.iter().map(|e| &e.session_link).collect();
    set_links(&links, LinkState::Blocked);
    pause_ms(LEASE_MS).await;
    let starts = cluster.start_count();
    pause_ms(2 * OUTAGE_MS).await;
    assert_that!(cluster.start_count(), eq(starts));
    set_links(&links, LinkState::Open);
    cluster.wait_until_recovered().await;
    let answer = job.await.unwrap().unwrap();
    assert_that!(
        answer.body["failure"]["reason"],
        eq(&json!("outcome_unknown"))
    );
    assert_that!(answer.body["failure"]["not_run"], eq(&json!(false)));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_and_agents() {
    run_under_load(13, &[], async |cluster, load| {
        let links: Vec<_> = cluster.entries.iter().map(|e| &e.session_link).collect();
        disrupt_and_restore(&links, cluster, load).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_and_target() {
    run_under_load(14, &[], async |cluster, load| {
        disrupt_and_restore(&[&cluster.agents[0].task_link], cluster, load).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_and_announcements_disrupted_together() {
    run_under_load(15, &[], async |cluster, load| {
        let agent = &cluster.agents[0];
        disrupt_and_restore(&[&agent.task_link, &agent.announcement_link], cluster, load).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_store() {
    run_under_load(16, &[], async |cluster, load| {
        let entry = &cluster.entries[0];
        disrupt_and_restore(&[&entry.table_link, &entry.object_link], cluster, load).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_replaced_while_its_entry_is_unreachable() {
    run_under_load(17, &[], async |cluster, _| {
        cluster.entries[0]
            .session_link
            .set_state(LinkState::Blocked);
        cluster.replace_agent(0).await;
        pause_ms(OUTAGE_MS).await;
        cluster.entries[0].session_link.set_state(LinkState::Open);
        cluster.replace_agent(0).await;
    })
    .await;
}

/// Tasks that hang on an unreachable target must not occupy the slots of its replacement.
#[tokio::test(flavor = "multi_thread")]
async fn replacement_gets_the_slots_of_an_unreachable_target() {
    let options = ClusterOptions {
        agents: 1,
        run_timeout_ms: 10 * 60 * 1_000,
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::start(options).await;
    let load = Load::start(&cluster, 18).await;
    cluster.agents[0].task_link.set_state(LinkState::Blocked);
    cluster.agents[0]
        .announcement_link
        .set_state(LinkState::Reset);
    pause_ms(OUTAGE_MS).await;
    let old_task_link =
        std::mem::replace(&mut cluster.agents[0].task_link, Relay::start(None).await);
    cluster.agents[0]
        .announcement_link
        .set_state(LinkState::Open);
    cluster.replace_target(0).await;
    let progress = tokio::time::timeout(WAIT_TIMEOUT, load.wait_for_progress()).await;
    assert!(progress.is_ok());
    stop_and_verify(load, &cluster, &[]).await;
    drop(old_task_link);
}
