//! A target that restarts under the id that it had.

use dfs_policy::runs::RunsEvent;
use googletest::prelude::*;

use super::bench::Harness;
use super::bench::heartbeat;

#[googletest::test]
fn the_first_heartbeat_of_an_incarnation_that_a_snapshot_showed_ends_no_runs() {
    let mut harness = Harness::with_ready_target();
    harness.answer_poll_from(2, harness.last_poll(), &[], &[]);
    harness.start("s", "a");
    harness.accept_start();
    harness.answer_poll_from(2, harness.last_poll(), &[("a", 1)], &[]);
    harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 2, 1)));
    expect_that!(harness.ended, is_empty());
}
