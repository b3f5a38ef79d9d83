//! Rate limit of the log, and the text exposition of the metrics.

use std::time::Duration;
use std::time::Instant;

use dfs_log::Counter;
use dfs_log::Event;
use dfs_log::EventKind;
use dfs_log::Gauge;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::RateLimiter;
use dfs_log::Series;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;

fn event_kind(number: u16) -> &'static EventKind {
    Event::catalogue()
        .find(|kind| kind.number == number)
        .unwrap()
}

fn count_admitted(limiter: &RateLimiter, number: u16, lines: usize, now: Instant) -> usize {
    let admissions = (0..lines).map(|_| limiter.admit(event_kind(number), now));
    admissions.filter(|admission| admission.is_admitted).count()
}

#[googletest::test]
fn request_lines_share_one_limit_and_excess_lines_are_reported_once() {
    let (limiter, now) = (RateLimiter::default(), Instant::now());
    expect_that!(count_admitted(&limiter, 301, 600, now), eq(600));
    expect_that!(count_admitted(&limiter, 303, 600, now), eq(400));
    let next_window = now + Duration::from_secs(1);
    let dropped = limiter.admit(event_kind(301), next_window).dropped;
    expect_that!(dropped.into_iter().collect::<Vec<_>>(), eq(&[(303, 200)]));
    expect_that!(
        limiter.admit(event_kind(301), next_window).dropped.len(),
        eq(0)
    );
}

#[googletest::test]
fn repeated_lines_of_other_kinds_do_not_use_up_the_request_limit() {
    let (limiter, now) = (RateLimiter::default(), Instant::now());
    expect_that!(count_admitted(&limiter, 505, 5_000, now), eq(20));
    expect_that!(count_admitted(&limiter, 402, 5, now), eq(5));
    expect_that!(count_admitted(&limiter, 301, 1_000, now), eq(1_000));
}

#[googletest::test]
fn request_lines_do_not_use_up_the_limit_of_request_warnings() {
    let (limiter, now) = (RateLimiter::default(), Instant::now());
    expect_that!(count_admitted(&limiter, 309, 5_000, now), eq(1_000));
    expect_that!(count_admitted(&limiter, 312, 150, now), eq(150));
    expect_that!(count_admitted(&limiter, 419, 150, now), eq(50));
}

#[googletest::test]
fn a_line_dropped_after_admission_is_reported() {
    let (limiter, now) = (RateLimiter::default(), Instant::now());
    limiter.admit(event_kind(301), now);
    limiter.record_dropped(301);
    let dropped = limiter
        .admit(event_kind(301), now + Duration::from_secs(2))
        .dropped;
    expect_that!(dropped.get(&301), some(eq(&1)));
}

#[googletest::test]
fn metrics_are_rendered_as_text() {
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
