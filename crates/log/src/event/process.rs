//! 1xx: life cycle of the process.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::From;
use dfs_conf::LogLevel;
use dfs_ids::AgentId;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;

use super::ErrorText;
use super::catalogue::events;

/// Role and identifier of a process, written as `role:id`.
#[derive(Debug, Clone, PartialEq, Eq, Display, From)]
pub enum ProcessName {
    /// An `entry` process.
    #[display("entry:{_0}")]
    Entry(EntryId),
    /// An `agent` process.
    #[display("agent:{_0}")]
    Agent(AgentId),
}

/// Kind of client that connects to a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Listener {
    /// Callers and operators.
    #[display("callers")]
    Callers,
    /// Agents.
    #[display("agents")]
    Agents,
    /// The target that the agent manages.
    #[display("target")]
    Target,
    /// The metrics scraper.
    #[display("metrics")]
    Metrics,
    /// The load balancer, which probes readiness.
    #[display("readiness")]
    Readiness,
}

/// A limit on what a client may hold of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ClientLimit {
    /// Time for the head of a request.
    #[display("head_time")]
    HeadTime,
    /// Size of the head of a request.
    #[display("head_bytes")]
    HeadBytes,
    /// Time between requests.
    #[display("idle_time")]
    Idle,
    /// Time for the body of a request.
    #[display("body_time")]
    BodyTime,
    /// Size of the body of a request.
    #[display("body_bytes")]
    BodyBytes,
    /// Time for the client to read an answer.
    #[display("write_time")]
    WriteTime,
    /// Memory for requests of the process, or its connections, which newer clients need.
    #[display("memory")]
    Memory,
}

/// Why a process is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReadyCause {
    /// The process has never had a configuration.
    #[display("no_config")]
    NoConfig,
    /// No agent has a session with the entry.
    #[display("no_session")]
    NoSession,
    /// The process is shutting down.
    #[display("stopping")]
    Stopping,
}

events! {
    /// Events in the life cycle of the process.
    ProcessEvent {
        /// The process has read its settings and is starting.
        101 Info "starting" Starting {
            /// Role and identifier of the process.
            process: ProcessName,
            /// Failure domain from the settings.
            domain: FailureDomain,
            /// Distinguishes this process from earlier ones of the same name.
            incarnation: Incarnation,
        }
        /// The settings are invalid; the process exits.
        102 Error "settings_rejected" SettingsRejected {
            /// Path of the setting, its value and the allowed values.
            error: ErrorText,
        }
        /// A socket accepts connections.
        103 Info "listening" Listening {
            /// Kind of client that the socket serves.
            listener: Listener,
            /// Local address of the socket.
            address: SocketAddr,
        }
        /// The process is ready to accept work.
        104 Info "ready" Ready {}
        /// The process reports that it is not ready.
        105 Warn "not_ready" NotReady {
            /// Reason why it is not ready.
            cause: NotReadyCause,
        }
        /// A signal requested a graceful shutdown.
        106 Info "stop_requested" StopRequested {
            /// Longest time to wait for work in progress.
            drain_ms: Millis,
        }
        /// All work in progress has finished; the process exits.
        107 Info "drained" Drained {
            /// Time since the shutdown was requested.
            waited_ms: Millis,
        }
        /// The drain timeout has expired; the process exits with work in progress.
        108 Error "stop_bound_passed" StopBoundPassed {
            /// The drain timeout from the settings.
            drain_ms: Millis,
            /// Submissions (entry) or tasks (agent) still in progress, which are abandoned.
            open: usize,
        }
        /// A second signal makes the process exit immediately.
        109 Warn "second_signal" SecondSignal {
            /// Submissions (entry) or tasks (agent) still in progress, which are abandoned.
            open: usize,
        }
        /// The process exits because of a fatal error.
        110 Error "process_failed" Failed {
            /// The fatal error.
            error: ErrorText,
        }
        /// The settings file has changed. The log level applies at once, all else after a restart.
        111 Info "settings_reloaded" SettingsReloaded {
            /// The new log level.
            level: LogLevel,
        }
        /// Lines were dropped by the rate limit, or because the queue to standard output was full.
        112 Warn "lines_left_out" LinesLeftOut {
            /// Event number of the dropped lines.
            number: u16,
            /// Lines of this kind dropped since the last report.
            lines: u64,
        }
        /// The memory for requests is in use, and the request that has held some longest without being complete was
        /// given up.
        113 Warn "request_evicted" RequestEvicted {
            /// Memory that the request held.
            request_bytes: u64,
            /// Memory that all requests held.
            held_bytes: u64,
            /// Memory that requests may hold.
            limit_bytes: u64,
        }
        /// A job was refused because the jobs that wait for their answer take up the memory for jobs.
        114 Warn "job_over_budget" JobOverBudget {
            /// Memory that the job would take up.
            job_bytes: u64,
            /// Memory that other jobs take up.
            held_bytes: u64,
            /// Memory that jobs may take up.
            limit_bytes: u64,
        }
        /// A client exceeded a limit; its request was refused or its connection was closed.
        115 Info "client_cut_off" ClientCutOff {
            /// Kind of client.
            listener: Listener,
            /// The limit.
            limit: ClientLimit,
        }
        /// A connection could not be accepted; the listener tries again after a pause.
        116 Warn "accept_failed" AcceptFailed {
            /// Kind of client.
            listener: Listener,
            /// Error of the system.
            error: ErrorText,
        }
        /// A new connection exceeded the limit and was refused, or took the place of an idle one.
        117 Warn "connections_at_limit" ConnectionsAtLimit {
            /// Kind of client.
            listener: Listener,
            /// The limit.
            max_connections: usize,
        }
    }
}
