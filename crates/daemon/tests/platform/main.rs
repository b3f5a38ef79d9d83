//! The daemon's programs for the users' platform, as processes, against fakes of its store, workers and callers.

mod callers;
mod config;
mod evacuation;
mod judge;
mod listener;
#[allow(dead_code, reason = "shared with the tests of the limits")]
mod pool;
mod soak;
mod succession;

#[path = "../../../../platform/tests/cluster/client.rs"]
#[allow(dead_code, reason = "shared with the tests of the adapter")]
mod client;
#[path = "../faults/support/daemon.rs"]
#[allow(
    dead_code,
    reason = "shared with the tests of the product's own protocol"
)]
mod daemon;
#[path = "../../../../platform/tests/cluster/ledger.rs"]
#[allow(dead_code, reason = "shared with the tests of the adapter")]
mod ledger;
#[path = "../faults/support/relay.rs"]
#[allow(
    dead_code,
    reason = "shared with the tests of the product's own protocol"
)]
mod relay;
#[path = "../../../../platform/tests/cluster/settings.rs"]
mod settings;
#[path = "../../../../platform/tests/cluster/store.rs"]
#[allow(dead_code, reason = "shared with the tests of the adapter")]
mod store;
#[path = "../faults/support/wait.rs"]
mod wait;
#[path = "../../../../platform/tests/cluster/worker.rs"]
#[allow(dead_code, reason = "shared with the tests of the adapter")]
mod worker;

use wait::wait_until;
