//! The closed set of metrics and their names.

use derive_more::Display;

/// Declares an enum with the name of each variant and the list of all variants.
macro_rules! metrics {
    ($(#[$enum_doc:meta])* $enum:ident { $( $(#[$doc:meta])* $variant:ident = $name:literal, )* }) => {
        $(#[$enum_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
        pub enum $enum {
            $( $(#[$doc])* #[display($name)] $variant, )*
        }

        impl $enum {
            /// Every variant, at the position of its discriminant.
            pub const ALL: [Self; [$($name),*].len()] = [$(Self::$variant),*];
        }
    };
}

metrics! {
    /// A count of things that happened.
    Counter {
        /// Messages written to sessions.
        MessagesSent = "messages_sent",
        /// Messages read from sessions.
        MessagesReceived = "messages_received",
        /// Bytes written to sessions.
        BytesSent = "bytes_sent",
        /// Bytes read from sessions.
        BytesReceived = "bytes_received",
        /// Tasks whose result was settled.
        TasksSettled = "tasks_settled",
        /// Further attempts of tasks.
        Retries = "retries",
        /// Tasks that were placed and are queued again.
        PlacedAnew = "placed_anew",
        /// Submissions that could not be answered when they were due.
        Late = "late",
        /// Submissions that were answered whole.
        Completed = "completed",
        /// Runs that were told to stop.
        RunsStopped = "runs_stopped",
        /// Ejections of targets.
        Ejections = "ejections",
        /// Samples recorded under the group `other` because [`crate::MAX_SERIES`] was reached.
        SeriesOverflow = "series_overflow",
    }
}

metrics! {
    /// A current value.
    Gauge {
        /// Submissions that are not answered yet.
        OpenSubmissions = "open_submissions",
        /// Tasks that wait in this process.
        QueuedTasks = "queued_tasks",
        /// Open sessions.
        Sessions = "sessions",
        /// Version of the configuration in force.
        ConfigVersion = "config_version",
        /// Time since the head version was last read from the store, in milliseconds.
        ConfigAgeMs = "config_age_ms",
    }
}

metrics! {
    /// A distribution kept for each group and service.
    Series {
        /// Time from admission to placement, in microseconds.
        QueueWaitUs = "queue_wait_us",
        /// Run time on the target, in microseconds.
        RunTimeUs = "run_time_us",
        /// Time from admission to the answer, in microseconds.
        ResponseUs = "response_us",
        /// Response time over the ideal, in thousandths.
        ResponsePermille = "response_permille",
        /// Messages between processes for each task, in thousandths.
        MessagesPerTaskPermille = "messages_per_task_permille",
    }
}

metrics! {
    /// A figure sent for each series.
    Statistic {
        /// Number of samples since the last report.
        Count = "count",
        /// Median.
        P50 = "p50",
        /// 99th percentile.
        P99 = "p99",
        /// Largest sample.
        Max = "max",
    }
}

/// An identifier as one part of a statsd name, without the separators of such names.
pub(super) fn segment(id: &str) -> String {
    id.replace(['.', ':'], "_")
}
