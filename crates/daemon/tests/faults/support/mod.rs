//! Processes of the product on loopback, links that can be cut, a bounded load, and its judge.

mod cluster;
mod daemon;
mod http;
mod judge;
mod load;
mod relay;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use judge::violations;

pub use cluster::Cluster;
pub use cluster::GROUP_TOKEN;
pub use cluster::OPERATOR_TOKEN;
pub use cluster::SERVICE;
pub use cluster::Shape;
pub use daemon::Daemon;
pub use daemon::Role;
pub use daemon::Signal;
pub use http::Call;
pub use http::CallError;
pub use http::Reply;
pub use load::Kind;
pub use load::Load;
pub use load::Record;
pub use relay::Cut;
pub use relay::Relay;

/// Limit of every wait, so that no verdict depends on the speed of the machine.
pub const GENEROUS: Duration = Duration::from_secs(30);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let asked = Instant::now();
    while !holds().await {
        assert!(asked.elapsed() < GENEROUS, "waited too long until {what}");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Lets the load run on.
pub async fn pause_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Runs a case under load, waits until new work flows everywhere, and judges. Answers may be lost
/// only by the entries that the case kills or cuts off.
pub async fn under_load(seed: u64, lost: &[usize], case: impl AsyncFnOnce(&mut Cluster, &Load)) {
    let mut cluster = Cluster::start(Shape::default()).await;
    let load = Load::start(&cluster, seed).await;
    case(&mut cluster, &load).await;
    cluster.recovered().await;
    load.flows().await;
    judge(load, &cluster, lost).await;
}

/// Ends the load, fails on any broken promise, and returns what the callers saw.
pub async fn judge(load: Load, cluster: &Cluster, lost: &[usize]) -> Vec<Record> {
    let records = load.stop().await;
    println!("{}", load::summary(&records));
    let found = violations(&records, &cluster.logs, |entry| lost.contains(&entry));
    assert_that!(found, is_empty());
    records
}
