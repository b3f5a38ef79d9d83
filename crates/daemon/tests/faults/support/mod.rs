//! Test support: a cluster of daemon processes on loopback whose links can be disrupted, a
//! closed-loop load on it, and the check of the answers that the load got.

mod cluster;
#[allow(dead_code, reason = "shared with the tests on the platform")]
mod daemon;
mod http;
mod judge;
mod load;
#[allow(dead_code, reason = "shared with the tests on the platform")]
mod relay;
mod wait;

use std::time::Duration;

use googletest::prelude::*;

use judge::find_violations;

pub use cluster::Cluster;
pub use cluster::ClusterOptions;
pub use cluster::GROUP_TOKEN;
pub use cluster::OPERATOR_TOKEN;
pub use cluster::SERVICE;
pub use daemon::Daemon;
pub use daemon::Role;
pub use daemon::Signal;
pub use http::Call;
pub use http::CallError;
pub use http::Connection;
pub use http::Reply;
pub use load::Load;
pub use load::Record;
pub use load::SubmissionKind;
pub use relay::LinkState;
pub use relay::Relay;
pub use wait::WAIT_TIMEOUT;
pub use wait::wait_until;

pub async fn pause_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Runs a scenario under load, waits until the cluster has recovered and completes new work, and
/// checks all answers. Answers may be missing only from `lossy_entries`, which the scenario kills
/// or disconnects.
pub async fn run_under_load(
    seed: u64,
    lossy_entries: &[usize],
    scenario: impl AsyncFnOnce(&mut Cluster, &Load),
) {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let load = Load::start(&cluster, seed).await;
    scenario(&mut cluster, &load).await;
    cluster.wait_until_recovered().await;
    load.wait_for_progress().await;
    stop_and_verify(load, &cluster, lossy_entries).await;
}

/// Stops the load, panics if any answer violates a guarantee, and returns all attempts.
///
/// A broken connection counts as a violation unless it was to one of `lossy_entries`.
pub async fn stop_and_verify(
    load: Load,
    cluster: &Cluster,
    lossy_entries: &[usize],
) -> Vec<Record> {
    let records = load.stop().await;
    println!("{}", load::outcome_counts(&records));
    let violations = find_violations(&records, &cluster.start_logs, |entry| {
        lossy_entries.contains(&entry)
    });
    assert_that!(violations, is_empty());
    records
}
