//! Metrics as a statsd server receives them.

use std::collections::BTreeMap;
use std::net::UdpSocket;

use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use dfs_log::Counter;
use dfs_log::FLUSH_BUDGET_BYTES;
use dfs_log::Gauge;
use dfs_log::MAX_SERIES_PAIRS;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::Series;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;

const PREFIX: &str = "dragonflyshed.entry.ng_1.";
/// Most that counters, gauges and one pair of group and service can add beyond the budget.
const OVERSHOOT_BYTES: usize = 3_000;

struct StatsdServer(UdpSocket);

impl StatsdServer {
    fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        Self(socket)
    }

    fn metrics(&self) -> Metrics {
        let process = ProcessName::Entry("ng.1".parse().unwrap());
        Metrics::new(Some(self.0.local_addr().unwrap()), &process).unwrap()
    }

    /// Reads all datagrams sent so far: loopback delivers a datagram before the send returns.
    fn receive_all(&self) -> String {
        let mut buffer = [0; 2_048];
        let mut text = String::new();
        while let Ok(len) = self.0.recv(&mut buffer) {
            text.push_str(std::str::from_utf8(&buffer[..len]).unwrap());
        }
        text
    }

    /// Reads all metrics sent so far, as value and type by name without the prefix.
    fn receive_values(&self) -> BTreeMap<String, String> {
        let parse_line = |line: &str| {
            let (name, value) = line.strip_prefix(PREFIX).unwrap().split_once(':').unwrap();
            (name.to_owned(), value.to_owned())
        };
        self.receive_all().lines().map(parse_line).collect()
    }
}

fn group(n: usize) -> GroupId {
    format!("team-{n}").parse().unwrap()
}

fn service() -> ServiceName {
    "member-desk".parse().unwrap()
}

#[googletest::test]
fn a_counter_is_sent_as_the_difference_since_the_last_flush() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    metrics.count(Counter::MessagesSent, 5);
    metrics.flush();
    expect_that!(server.receive_values()["messages_sent"], eq("5|c"));
    metrics.count(Counter::MessagesSent, 2);
    metrics.flush();
    expect_that!(server.receive_values()["messages_sent"], eq("2|c"));
    metrics.flush();
    expect_that!(
        server.receive_values().contains_key("messages_sent"),
        eq(false)
    );
    expect_that!(metrics.total(Counter::MessagesSent), eq(7));
}

#[googletest::test]
fn failures_are_counted_by_reason() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    metrics.count_failure(FailureReason::Overloaded);
    metrics.clone().count_failure(FailureReason::Overloaded);
    metrics.count_failure(FailureReason::NoTarget);
    metrics.flush();
    let values = server.receive_values();
    expect_that!(values["refusals.overloaded"], eq("2|c"));
    expect_that!(values["refusals.no_target"], eq("1|c"));
    metrics.count_failure(FailureReason::NoTarget);
    metrics.flush();
    let values = server.receive_values();
    expect_that!(values["refusals.no_target"], eq("1|c"));
    expect_that!(values.contains_key("refusals.overloaded"), eq(false));
}

#[googletest::test]
fn a_gauge_is_repeated_at_every_flush() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    metrics.set(Gauge::ConfigVersion, 41);
    metrics.flush();
    expect_that!(server.receive_values()["config_version"], eq("41|g"));
    metrics.flush();
    expect_that!(server.receive_values()["config_version"], eq("41|g"));
}

#[googletest::test]
fn a_series_is_sent_as_its_statistics_and_reset() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    for value in 1..=100 {
        metrics.record(Series::QueueWaitUs, &group(1), &service(), value);
    }
    metrics.flush();
    let values = server.receive_values();
    let name = |statistic| format!("group.team-1.member-desk.queue_wait_us.{statistic}");
    expect_that!(values[&name("count")], eq("100|c"));
    expect_that!(values[&name("p50")], eq("50|g"));
    expect_that!(values[&name("p99")], eq("99|g"));
    expect_that!(values[&name("max")], eq("100|g"));
    metrics.flush();
    expect_that!(
        server.receive_values().contains_key(&name("count")),
        eq(false)
    );
}

#[googletest::test]
fn separators_in_identifiers_do_not_split_a_name() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    let group = "ng.south:1".parse().unwrap();
    metrics.record(Series::RunTimeUs, &group, &service(), 7);
    metrics.flush();
    let name = "group.ng_south_1.member-desk.run_time_us.max";
    expect_that!(server.receive_values()[name], eq("7|g"));
}

#[googletest::test]
fn a_value_above_the_largest_sample_is_counted() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    metrics.record(Series::RunTimeUs, &group(1), &service(), u64::MAX);
    metrics.flush();
    let name = "group.team-1.member-desk.run_time_us.count";
    expect_that!(server.receive_values()[name], eq("1|c"));
}

#[googletest::test]
fn many_groups_are_spread_over_flushes_within_the_byte_budget() {
    const GROUPS: usize = 450;
    let server = StatsdServer::new();
    let metrics = server.metrics();
    for n in 0..GROUPS {
        for series in Series::ALL {
            metrics.record(series, &group(n), &service(), 1_000);
        }
    }
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..GROUPS {
        metrics.flush();
        let text = server.receive_all();
        expect_that!(text.len(), le(FLUSH_BUDGET_BYTES + OVERSHOOT_BYTES));
        let count_lines = text.lines().filter(|line| line.contains(".count:1|c"));
        for line in count_lines {
            *counts.entry(line.to_owned()).or_default() += 1;
        }
    }
    expect_that!(counts.len(), eq(GROUPS * Series::ALL.len()));
    expect_that!(counts.values().all(|n| *n == 1), eq(true));
}

#[googletest::test]
fn pairs_beyond_the_limit_are_recorded_under_other() {
    const EXCESS_PAIRS: usize = 7;
    let server = StatsdServer::new();
    let metrics = server.metrics();
    for n in 0..MAX_SERIES_PAIRS + EXCESS_PAIRS {
        metrics.record(Series::RunTimeUs, &group(n), &service(), 5);
    }
    metrics.record(Series::RunTimeUs, &group(0), &service(), 5);
    expect_that!(
        metrics.total(Counter::SeriesOverflow),
        eq(EXCESS_PAIRS as u64)
    );
    let name = "group.other.other.run_time_us.count";
    let other_count = (0..MAX_SERIES_PAIRS).find_map(|_| {
        metrics.flush();
        server.receive_values().remove(name)
    });
    expect_that!(other_count, some(eq("7|c")));
}

#[googletest::test]
fn recording_and_flushing_continue_without_a_server() {
    let server = StatsdServer::new();
    let metrics = server.metrics();
    drop(server);
    for n in 0..50 {
        metrics.record(Series::RunTimeUs, &group(n), &service(), 5);
        metrics.count(Counter::Retries, 1);
        metrics.flush();
    }
    expect_that!(metrics.total(Counter::Retries), eq(50));
}

#[googletest::test]
fn a_socket_that_accepts_nothing_loses_only_the_buffered_pairs() {
    /// At most so many pairs fit into the client's buffer of 1400 bytes: a pair takes over 200.
    const MAX_BUFFERED_PAIRS: usize = 7;
    let process = ProcessName::Entry("ng.1".parse().unwrap());
    let port_0_is_invalid = "127.0.0.1:0".parse().unwrap();
    let metrics = Metrics::new(Some(port_0_is_invalid), &process).unwrap();
    for n in 0..MAX_SERIES_PAIRS {
        metrics.record(Series::RunTimeUs, &group(n), &service(), 5);
    }
    metrics.flush();
    for n in MAX_SERIES_PAIRS..=MAX_SERIES_PAIRS + MAX_BUFFERED_PAIRS {
        metrics.record(Series::RunTimeUs, &group(n), &service(), 5);
    }
    // The flush dropped the pairs that filled the buffer and kept the others pending.
    expect_that!(metrics.total(Counter::SeriesOverflow), ge(1));
}
