//! The metrics and their names.

use derive_more::Display;

/// Declares an enum of metric names, written by `Display`, and the list of its variants.
macro_rules! metrics {
    ($(#[$enum_doc:meta])* $enum:ident { $( $(#[$doc:meta])* $variant:ident = $name:literal, )* }) => {
        $(#[$enum_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
        pub enum $enum {
            $( $(#[$doc])* #[display($name)] $variant, )*
        }

        impl $enum {
            /// Every variant, indexed by its discriminant.
            pub const ALL: [Self; [$($name),*].len()] = [$(Self::$variant),*];
        }
    };
}

metrics! {
    /// A total that only increases.
    Counter {
        /// Messages sent over sessions.
        MessagesSent = "messages_sent",
        /// Messages received over sessions.
        MessagesReceived = "messages_received",
        /// Bytes sent over sessions.
        BytesSent = "bytes_sent",
        /// Bytes received over sessions.
        BytesReceived = "bytes_received",
        /// Tasks with a settled result.
        TasksSettled = "tasks_settled",
        /// Tasks that were queued for a further attempt.
        Retries = "retries",
        /// Placed tasks that were queued again.
        PlacedAnew = "placed_anew",
        /// Tasks that were placed on targets near their data.
        PlacedNear = "placed_near",
        /// Tasks that were placed on targets away from their data.
        PlacedAway = "placed_away",
        /// Tasks that were placed after a wait for targets near their data while others had room.
        PlacedAfterWait = "placed_after_wait",
        /// Sum of the times of these waits, in milliseconds.
        NearWaitMs = "near_wait_ms",
        /// Sum of the run times that these waits were expected to save, in milliseconds.
        NearSavedMs = "near_saved_ms",
        /// Submissions that missed their latency objective while queued.
        Late = "late",
        /// Submissions answered with the results of all tasks.
        Completed = "completed",
        /// Runs that the agent requested to stop.
        RunsStopped = "runs_stopped",
        /// Times that a target was ejected, that is, excluded from placement for a while.
        Ejections = "ejections",
        /// Crashes of the target while tasks ran on it.
        TargetCrashes = "target_crashes",
        /// Reads of the evacuated failure domains that an agent has sent to the store.
        EvacuationReads = "evacuation_reads",
        /// Bytes of configurations read from the store.
        ConfigBytesRead = "config_bytes_read",
        /// Updates of the configuration sent to agents.
        ConfigUpdatesSent = "config_updates_sent",
        /// Bytes of these updates.
        ConfigBytesSent = "config_bytes_sent",
        /// Tasks that are not run again, because targets have crashed under them.
        TasksGivenUp = "tasks_given_up",
        /// Times that a queue was contained.
        QueuesContained = "queues_contained",
        /// Samples recorded under the group `other` because [`crate::MAX_SERIES_PAIRS`] was reached.
        SeriesOverflow = "series_overflow",
        /// Requests that were given up while they arrived, because newer ones needed the memory.
        RequestsEvicted = "requests_evicted",
        /// Jobs that were refused for lack of memory.
        JobsOverBudget = "jobs_over_budget",
        /// Clients that exceeded a limit of time or size.
        ClientsCutOff = "clients_cut_off",
        /// Connections over the limit of their listener.
        ConnectionsOverLimit = "connections_over_limit",
        /// Connections that the system could not hand over.
        AcceptFailures = "accept_failures",
    }
}

metrics! {
    /// A value at the moment.
    Gauge {
        /// Submissions that are not yet answered.
        OpenSubmissions = "open_submissions",
        /// Tasks queued in this process.
        QueuedTasks = "queued_tasks",
        /// Open sessions.
        Sessions = "sessions",
        /// Active version of the configuration.
        ConfigVersion = "config_version",
        /// Time since the head version was last read from the store, in milliseconds.
        ConfigAgeMs = "config_age_ms",
        /// Failure domains that are evacuated.
        EvacuatedDomains = "evacuated_domains",
        /// Age of an agent's set of evacuated failure domains, in milliseconds.
        EvacuationsAgeMs = "evacuations_age_ms",
        /// Messages that waited for one agent when an update of the configuration was last sent to it.
        QueuedMessages = "queued_messages",
        /// Memory that requests hold which arrive or wait for their answer, in bytes.
        RequestBytes = "request_bytes",
    }
}

metrics! {
    /// A histogram per group and service.
    Series {
        /// Time from admission to placement, in microseconds.
        QueueWaitUs = "queue_wait_us",
        /// Run time on the target, in microseconds.
        RunTimeUs = "run_time_us",
        /// Time from admission to the answer, in microseconds.
        ResponseUs = "response_us",
        /// Ratio of response time to ideal response time, in thousandths.
        ResponsePermille = "response_permille",
        /// Messages between processes per task, in thousandths.
        MessagesPerTaskPermille = "messages_per_task_permille",
    }
}

metrics! {
    /// A statistic of a histogram, sent over statsd.
    Statistic {
        /// Number of samples since the last flush of the histogram.
        Count = "count",
        /// Median.
        P50 = "p50",
        /// 99th percentile.
        P99 = "p99",
        /// Largest sample.
        Max = "max",
    }
}

/// Replaces the statsd separators `.` and `:` in an identifier, so that it is one segment of a name.
pub(super) fn name_segment(id: &str) -> String {
    id.replace(['.', ':'], "_")
}
