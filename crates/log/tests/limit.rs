//! Bounds on the volume of the log, and the text of the metrics.

use std::time::Duration;
use std::time::Instant;

use dfs_log::Counter;
use dfs_log::Event;
use dfs_log::EventKind;
use dfs_log::Gauge;
use dfs_log::Limiter;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::Series;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;

fn kind(number: u16) -> &'static EventKind {
    Event::catalogue()
        .find(|kind| kind.number == number)
        .unwrap()
}

fn written(limiter: &Limiter, number: u16, lines: usize, now: Instant) -> usize {
    let admitted = (0..lines).map(|_| limiter.admit(kind(number), now));
    admitted.filter(|verdict| verdict.is_written).count()
}

#[googletest::test]
fn lines_of_requests_are_bounded_together_and_counted() {
    let (limiter, now) = (Limiter::default(), Instant::now());
    expect_that!(written(&limiter, 301, 600, now), eq(600));
    expect_that!(written(&limiter, 303, 600, now), eq(400));
    let later = now + Duration::from_secs(1);
    let left_out = limiter.admit(kind(301), later).left_out;
    expect_that!(left_out.into_iter().collect::<Vec<_>>(), eq(&[(303, 200)]));
    expect_that!(limiter.admit(kind(301), later).left_out.len(), eq(0));
}

#[googletest::test]
fn repeated_lines_of_another_kind_take_nothing_from_requests() {
    let (limiter, now) = (Limiter::default(), Instant::now());
    expect_that!(written(&limiter, 505, 5_000, now), eq(20));
    expect_that!(written(&limiter, 402, 5, now), eq(5));
    expect_that!(written(&limiter, 301, 1_000, now), eq(1_000));
}

#[googletest::test]
fn a_line_that_nobody_read_counts_as_left_out() {
    let (limiter, now) = (Limiter::default(), Instant::now());
    limiter.admit(kind(301), now);
    limiter.lost(301);
    let left_out = limiter
        .admit(kind(301), now + Duration::from_secs(2))
        .left_out;
    expect_that!(left_out.get(&301), some(eq(&1)));
}

#[googletest::test]
fn metrics_are_served_as_text() {
    let process = ProcessName::Entry("e-1".parse().unwrap());
    let metrics = Metrics::new(None, &process).unwrap();
    metrics.count(Counter::Completed, 3);
    metrics.set(Gauge::Sessions, 11);
    metrics.count_failure(FailureReason::Overloaded);
    let (group, service) = ("aba".parse().unwrap(), "desk".parse().unwrap());
    metrics.record(Series::RunTimeUs, &group, &service, 60_000);
    let text = metrics.render().unwrap();
    for line in [
        "dragonflyshed_completed_total 3",
        "dragonflyshed_sessions 11",
        "dragonflyshed_failures_total{reason=\"overloaded\"} 1",
        "dragonflyshed_run_time_us_count{group=\"aba\",service=\"desk\"} 1",
        "process_start_time_seconds ",
        "# EOF",
    ] {
        expect_that!(text, contains_substring(line));
    }
}
