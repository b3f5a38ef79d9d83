//! Measured rate at which capacity is released to waiting tasks.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_policy::throughput::ThroughputMeter;
use googletest::prelude::*;

const URGENT: Priority = Priority::new(0);
const LESS_URGENT: Priority = Priority::new(2);
const WINDOW_MS: u64 = 500;

fn at(ms: u64) -> Moment {
    Moment::from_millis(1) + Millis::new(ms)
}

/// A meter that has measured one window in which tasks were waiting all the time. In each tenth of a second,
/// urgent tasks released half of a target and less urgent ones a quarter.
fn backlogged() -> ThroughputMeter {
    let mut meter = ThroughputMeter::default();
    meter.observe_backlog(at(0), true);
    for tenth in 0..5 {
        for _ in 0..2 {
            meter.record_end(URGENT, 0.25);
            meter.record_end(LESS_URGENT, 0.125);
        }
        meter.observe_backlog(at(100 * tenth + 99), true);
    }
    meter.observe_backlog(at(WINDOW_MS), true);
    meter
}

#[googletest::test]
fn the_rate_of_a_priority_excludes_capacity_released_by_more_urgent_tasks() {
    let meter = backlogged();
    let targets_per_s = |priority| meter.rate(priority).unwrap() * 1e6;
    expect_that!(targets_per_s(URGENT), near(7.5, 0.01));
    expect_that!(targets_per_s(LESS_URGENT), near(2.5, 0.01));
}

#[googletest::test]
fn no_rate_is_known_until_tasks_have_waited_for_a_whole_window() {
    let mut meter = ThroughputMeter::default();
    meter.record_end(URGENT, 1.0);
    meter.observe_backlog(at(0), true);
    meter.observe_backlog(at(WINDOW_MS), true);
    expect_that!(meter.rate(URGENT), none());
}

#[googletest::test]
fn a_rate_is_discarded_when_no_task_waits_or_no_task_ends() {
    let mut idle = backlogged();
    idle.observe_backlog(at(WINDOW_MS + 1), false);
    expect_that!(idle.rate(URGENT), none());
    let mut stuck = backlogged();
    stuck.observe_backlog(at(WINDOW_MS + 1_500), true);
    expect_that!(stuck.rate(URGENT), none());
}
