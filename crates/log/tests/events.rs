//! Format of log lines, and agreement of the event catalogue with docs/EVENTS.md.

use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use dfs_conf::LogLevel;
use dfs_conf::LogSettings;
use dfs_ids::Millis;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Event;
use dfs_log::Gauge;
use dfs_log::NotReadyCause;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use dfs_log::RequestEvent;
use dfs_log::Series;
use dfs_log::Statistic;
use dfs_log::emit;
use dfs_log::emit_to;
use dfs_log::init;
use dfs_log::new_logger;
use dfs_wire::api::FailureReason;
use googletest::prelude::*;
use snafu::Snafu;

const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn refused_event(group: Option<&str>) -> RequestEvent {
    RequestEvent::Refused {
        submission: None,
        request: None,
        job: None,
        cause: ErrorText::from("the queue is full"),
        version: None,
        group: group.map(|id| id.parse().unwrap()),
        reason: FailureReason::Overloaded,
        retry_after_ms: Some(Millis::new(250)),
    }
}

#[googletest::test]
fn an_event_is_one_line_with_time_level_number_name_and_fields() {
    let buffer = SharedBuffer::default();
    let logger = new_logger(LogLevel::Debug, buffer.clone()).unwrap();
    emit_to(&logger, refused_event(Some("aba")));
    let time = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d\d:\d\d";
    let rest = "info 302 refused group=aba reason=overloaded cause=\"the queue is full\" retry_after_ms=250\n";
    expect_that!(buffer.text(), matches_regex(format!("{time} {rest}")));
}

#[googletest::test]
fn events_below_the_level_are_not_written() {
    let buffer = SharedBuffer::default();
    let logger = new_logger(LogLevel::Warn, buffer.clone()).unwrap();
    emit_to(&logger, refused_event(None));
    emit_to(&logger, ProcessEvent::Ready {});
    emit_to(&logger, ProcessEvent::SecondSignal { open: 3 });
    let cause = NotReadyCause::Stopping;
    emit_to(&logger, ProcessEvent::NotReady { cause });
    let text = buffer.text();
    let lines_without_time: Vec<_> = text
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(_, rest)| rest)
        .collect();
    let expected = [
        "warn 109 second_signal open=3",
        "warn 105 not_ready cause=stopping",
    ];
    expect_that!(lines_without_time, container_eq(expected));
}

#[googletest::test]
fn an_absent_field_is_omitted() {
    let event = Event::from(refused_event(None));
    let expected = "302 refused reason=overloaded cause=\"the queue is full\" retry_after_ms=250";
    expect_that!(event.to_string(), eq(expected));
}

#[googletest::test]
fn a_value_cannot_end_its_line_or_add_a_field() {
    let error = io::Error::other("first\nsecond \u{1b}[31m level=\"error\"");
    let error = ErrorText::new(&error);
    let event = Event::from(ProcessEvent::Failed { error });
    let expected = r#"110 process_failed error="first\nsecond \u{1b}[31m level=\"error\"""#;
    expect_that!(event.to_string(), eq(expected));
}

#[googletest::test]
fn a_long_error_text_is_truncated_at_a_character_boundary() {
    let text = ErrorText::new(&io::Error::other("µ".repeat(10_000))).to_string();
    expect_that!(text.len(), eq(1_024));
}

#[derive(Debug, Snafu)]
enum OuterError {
    #[snafu(display("cannot read {path:?}"))]
    WithoutSource {
        path: &'static str,
        source: io::Error,
    },
    #[snafu(display("cannot read {path:?}: {source}"))]
    WithSource {
        path: &'static str,
        source: io::Error,
    },
}

#[googletest::test]
fn an_error_text_includes_each_source_once() {
    let source = || io::Error::other("disk gone");
    let path = "a";
    let without_source = ErrorText::new(&OuterError::WithoutSource {
        path,
        source: source(),
    });
    let with_source = ErrorText::new(&OuterError::WithSource {
        path,
        source: source(),
    });
    let expected = r#"cannot read "a": disk gone"#;
    expect_that!(without_source.to_string(), eq(expected));
    expect_that!(with_source.to_string(), eq(expected));
}

#[googletest::test]
fn a_process_without_statsd_logs_and_keeps_its_totals() {
    let settings = LogSettings {
        level: LogLevel::Error,
        metrics_address: None,
        statsd_address: None,
    };
    let process = ProcessName::Entry("e-1".parse().unwrap());
    let metrics = init(&settings, &process).unwrap();
    emit(ProcessEvent::Ready {});
    metrics.count(Counter::Retries, 2);
    metrics.flush();
    expect_that!(metrics.total(Counter::Retries), eq(2));
}

#[googletest::test]
fn numbers_ascend_and_names_are_unique() {
    let numbers: Vec<_> = Event::catalogue().map(|kind| kind.number).collect();
    let names: BTreeSet<_> = Event::catalogue().map(|kind| kind.name).collect();
    expect_that!(numbers.is_sorted_by(|a, b| a < b), eq(true));
    expect_that!(names.len(), eq(numbers.len()));
}

/// The first `columns` cells of each table row whose first cell satisfies `is_listed`.
fn table_rows(columns: usize, is_listed: impl Fn(&str) -> bool) -> Vec<String> {
    EVENTS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter(|line| line.split(" | ").next().is_some_and(&is_listed))
        .map(|line| {
            line.split(" | ")
                .take(columns)
                .collect::<Vec<_>>()
                .join(" | ")
        })
        .collect()
}

#[googletest::test]
fn the_page_lists_exactly_the_events_of_the_catalogue() {
    let declared: Vec<_> = Event::catalogue()
        .map(|kind| {
            let fields = kind.fields.join(", ");
            format!(
                "{} | {} | {} | {fields}",
                kind.number, kind.name, kind.level
            )
        })
        .collect();
    let listed = table_rows(4, |cell| cell.parse::<u16>().is_ok());
    expect_that!(listed, container_eq(declared));
}

#[googletest::test]
fn every_event_on_the_page_has_a_meaning_and_an_action() {
    let lines = EVENTS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| "));
    let events = lines.filter(|line| line.starts_with(|c: char| c.is_ascii_digit()));
    for line in events {
        let cells: Vec<_> = line.trim_end_matches(" |").split(" | ").collect();
        expect_that!(cells, len(eq(6)), "{line}");
        expect_that!(
            cells[4..].iter().all(|cell| !cell.is_empty()),
            eq(true),
            "{line}"
        );
    }
}

#[googletest::test]
fn the_page_lists_exactly_the_declared_metrics() {
    let counters = Counter::ALL.map(|metric| format!("counter | {metric}"));
    let gauges = Gauge::ALL.map(|metric| format!("gauge | {metric}"));
    let series = Series::ALL.map(|metric| format!("series | {metric}"));
    let statistics = Statistic::ALL.map(|metric| format!("statistic | {metric}"));
    let declared: Vec<_> = [&counters[..], &gauges, &series, &statistics].concat();
    let kinds = ["counter", "gauge", "series", "statistic"];
    let listed = table_rows(2, |cell| kinds.contains(&cell));
    expect_that!(listed, container_eq(declared));
}
