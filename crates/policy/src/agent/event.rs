//! Events and actions of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use dfs_conf::Config;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Open;
use dfs_wire::session::Report;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::ToAgent;
use dfs_wire::target::Announcement;
use serde_json::value::RawValue;

use crate::ConnectionId;

/// What happens to an agent.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// An entry sent a message.
    Message {
        /// Where it came from.
        connection: ConnectionId,
        /// The message.
        message: ToAgent,
    },
    /// An entry acknowledged a report.
    ReportAcked {
        /// Where the report went.
        connection: ConnectionId,
        /// The report.
        seq: u64,
        /// The reply.
        ack: Ack,
    },
    /// A connection broke, lagged or was refused.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// The target announced itself or sent a heartbeat.
    TargetAnnounced(Announcement),
    /// The target said goodbye.
    TargetGoodbye,
    /// A task that was started has ended, or could not be started.
    RunEnded {
        /// The task.
        task: TaskRef,
        /// Time since the start, in microseconds.
        run_us: u64,
        /// How it ended.
        end: RunEnd,
    },
    /// How far runs have come, in hundredths of their work.
    RunProgress(Vec<(TaskRef, u8)>),
    /// A higher version of the configuration was adopted.
    ConfigAdopted(Arc<Config>),
    /// The configuration that an entry asked for.
    ConfigBody {
        /// The entry's connection.
        connection: ConnectionId,
        /// The whole configuration.
        body: Box<RawValue>,
    },
    /// A planned stop begins.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// How an attempt to run a task ended.
#[derive(Debug, Clone, Display)]
pub enum RunEnd {
    /// It certainly did not start and never will.
    #[display("not started: {_0}")]
    NotStarted(NotRunReason),
    /// The task started.
    Finished(TaskOutcome),
}

/// What an agent does.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Calls an entry.
    SendReport {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: Report,
    },
    /// Closes a connection.
    CloseConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Starts a task on the target.
    StartRun {
        /// The task.
        task: TaskRef,
        /// The group that pays.
        group: GroupId,
        /// The service to call.
        service: ServiceName,
        /// Run time that the caller expects; zero: unknown.
        declared_ms: Millis,
        /// The target's address.
        address: SocketAddr,
        /// Time until the submission is answered, with or without the task.
        time_left_ms: Millis,
        /// The body.
        body: Arc<RawValue>,
    },
    /// Stops a run whose result is no longer wanted; its end is reported as any other.
    StopRun {
        /// The task.
        task: TaskRef,
    },
    /// A session was opened.
    SessionOpened {
        /// The connection.
        connection: ConnectionId,
        /// Its terms.
        open: Open,
    },
    /// Entries that may be dialled.
    EntryAddresses(Vec<EntryAddress>),
    /// A configuration arrived, whole or as a difference.
    ConfigReceived(Box<RawValue>),
    /// An entry asks for the configuration that the agent holds.
    ConfigRequested {
        /// The entry's connection.
        connection: ConnectionId,
        /// Version that the agent holds.
        version: ConfigVersion,
    },
    /// The lease of an entry lapsed; its queued tasks were dropped, its repeatable ones stopped.
    EntryLapsed {
        /// The entry.
        entry: EntryId,
        /// Tasks dropped before they started, or stopped.
        dropped: u32,
    },
    /// Something that the log records.
    Observe(Observation),
    /// The planned stop is complete.
    ShutdownComplete,
}

/// Something that the log records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A task starts.
    RunStarted {
        /// The task.
        task: TaskRef,
        /// Time in the queue of the agent.
        wait_ms: Millis,
        /// Load of the target with it, in thousandths.
        load_permille: u32,
    },
    /// A run has ended.
    RunEnded {
        /// The task.
        task: TaskRef,
        /// How it ended.
        outcome: String,
        /// Time since its start, in microseconds.
        run_us: u64,
    },
    /// A task goes back to its entry.
    TaskHandedBack {
        /// The task.
        task: TaskRef,
        /// Why.
        reason: NotRunReason,
        /// Load of the target, in thousandths.
        load_permille: u32,
    },
    /// A run is told to stop.
    RunStopRequested {
        /// The task.
        task: TaskRef,
        /// Why.
        cause: &'static str,
    },
}
