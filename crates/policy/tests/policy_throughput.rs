//! The measured rate at which waiting tasks get room.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_policy::throughput::ThroughputMeter;
use googletest::prelude::*;

const URGENT: Priority = Priority::new(0);
const OTHER: Priority = Priority::new(2);
const SPAN_MS: u64 = 500;

fn at(ms: u64) -> Moment {
    Moment::from_millis(1) + Millis::new(ms)
}

/// Half of a target came free for urgent tasks, and a quarter for others, each tenth of a second.
fn backlogged() -> ThroughputMeter {
    let mut throughput = ThroughputMeter::default();
    throughput.observe_backlog(at(0), true);
    for tenth in 0..5 {
        for _ in 0..2 {
            throughput.record_end(URGENT, 0.25);
            throughput.record_end(OTHER, 0.125);
        }
        throughput.observe_backlog(at(100 * tenth + 99), true);
    }
    throughput.observe_backlog(at(SPAN_MS), true);
    throughput
}

#[googletest::test]
fn less_urgent_tasks_get_what_more_urgent_ones_leave() {
    let throughput = backlogged();
    let targets_per_s = |priority| throughput.rate(priority).unwrap() * 1e6;
    expect_that!(targets_per_s(URGENT), near(7.5, 0.01));
    expect_that!(targets_per_s(OTHER), near(2.5, 0.01));
}

#[googletest::test]
fn nothing_is_known_before_tasks_have_waited_for_a_span() {
    let mut throughput = ThroughputMeter::default();
    throughput.record_end(URGENT, 1.0);
    throughput.observe_backlog(at(0), true);
    throughput.observe_backlog(at(SPAN_MS), true);
    expect_that!(throughput.rate(URGENT), none());
}

#[googletest::test]
fn a_rate_is_forgotten_when_nothing_waits_or_nothing_ends() {
    let mut idle = backlogged();
    idle.observe_backlog(at(SPAN_MS + 1), false);
    expect_that!(idle.rate(URGENT), none());
    let mut stuck = backlogged();
    stuck.observe_backlog(at(SPAN_MS + 1_500), true);
    expect_that!(stuck.rate(URGENT), none());
}
