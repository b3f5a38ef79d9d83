//! The closed set of metrics and their names.

use derive_more::Display;

/// A count of things that happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Counter {
    /// Messages written to sessions.
    #[display("messages_sent")]
    MessagesSent,
    /// Messages read from sessions.
    #[display("messages_received")]
    MessagesReceived,
    /// Bytes written to sessions.
    #[display("bytes_sent")]
    BytesSent,
    /// Bytes read from sessions.
    #[display("bytes_received")]
    BytesReceived,
    /// Tasks whose result was settled.
    #[display("tasks_settled")]
    TasksSettled,
    /// Further attempts of tasks.
    #[display("retries")]
    Retries,
    /// Ejections of targets.
    #[display("ejections")]
    Ejections,
    /// Samples recorded under the group `other` because [`crate::MAX_SERIES`] was reached.
    #[display("series_overflow")]
    SeriesOverflow,
}

impl Counter {
    /// All counters; a counter's position is its discriminant.
    pub const ALL: [Self; 8] = [
        Self::MessagesSent,
        Self::MessagesReceived,
        Self::BytesSent,
        Self::BytesReceived,
        Self::TasksSettled,
        Self::Retries,
        Self::Ejections,
        Self::SeriesOverflow,
    ];
}

/// A current value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Gauge {
    /// Submissions that are not answered yet.
    #[display("open_submissions")]
    OpenSubmissions,
    /// Tasks that wait in this process.
    #[display("queued_tasks")]
    QueuedTasks,
    /// Open sessions.
    #[display("sessions")]
    Sessions,
    /// Version of the configuration in force.
    #[display("config_version")]
    ConfigVersion,
    /// Time since the head version was last read from the store, in milliseconds.
    #[display("config_age_ms")]
    ConfigAgeMs,
}

impl Gauge {
    /// All gauges; a gauge's position is its discriminant.
    pub const ALL: [Self; 5] = [
        Self::OpenSubmissions,
        Self::QueuedTasks,
        Self::Sessions,
        Self::ConfigVersion,
        Self::ConfigAgeMs,
    ];
}

/// A distribution kept for each group and service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Series {
    /// Time from admission to placement, in microseconds.
    #[display("queue_wait_us")]
    QueueWaitUs,
    /// Run time on the target, in microseconds.
    #[display("run_time_us")]
    RunTimeUs,
    /// Response time over the ideal, in thousandths.
    #[display("response_permille")]
    ResponsePermille,
    /// Messages between processes for each task, in thousandths.
    #[display("messages_per_task_permille")]
    MessagesPerTaskPermille,
}

impl Series {
    /// All series; a series' position is its discriminant.
    pub const ALL: [Self; 4] = [
        Self::QueueWaitUs,
        Self::RunTimeUs,
        Self::ResponsePermille,
        Self::MessagesPerTaskPermille,
    ];
}

/// A figure sent for each series.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Statistic {
    /// Number of samples since the last report.
    #[display("count")]
    Count,
    /// Median.
    #[display("p50")]
    P50,
    /// 99th percentile.
    #[display("p99")]
    P99,
    /// Largest sample.
    #[display("max")]
    Max,
}

impl Statistic {
    /// All statistics.
    pub const ALL: [Self; 4] = [Self::Count, Self::P50, Self::P99, Self::Max];
}

/// An identifier as one part of a statsd name, without the separators of such names.
pub(super) fn segment(id: &str) -> String {
    id.replace(['.', ':'], "_")
}
