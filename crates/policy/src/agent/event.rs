//! Events and actions of an [`Agent`](super::Agent).

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use dfs_conf::Config;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::GroupId;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::ServiceName;
use dfs_wire::session::Ack;
use dfs_wire::session::CrashedRun;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Evacuations;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::SessionParams;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;
use serde_json::value::RawValue;

use crate::ConnectionId;
use crate::reads::ReadId;
use crate::runs::CrashedAttempt;

/// Input of [`Agent::handle`](super::Agent::handle).
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// An entry sent a message.
    Message {
        /// Connection on which the message arrived.
        connection: ConnectionId,
        /// The message.
        message: EntryMessage,
    },
    /// An entry acknowledged a report.
    ReportAcked {
        /// Connection on which the report was sent.
        connection: ConnectionId,
        /// Sequence number of the report in its session.
        seq: u64,
        /// Reply of the entry.
        ack: Ack,
    },
    /// A connection to an entry broke, fell behind or was refused.
    ConnectionLost {
        /// The lost connection.
        connection: ConnectionId,
    },
    /// The target announced itself or renewed its announcement, which renews its lease.
    TargetAnnounced(Announcement),
    /// The target withdrew its announcement: it accepts no new tasks.
    TargetGoodbye,
    /// The target has exited or started anew, unplanned, under these tasks. It comes before their
    /// [`AgentEvent::RunEnded`], or after it if they had ended for another reason.
    TargetCrashed(Vec<CrashedAttempt>),
    /// A task that was started has ended, or could not be started.
    RunEnded {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// Time since the start, in microseconds.
        run_us: u64,
        /// Outcome of the run.
        end: RunEnd,
    },
    /// Progress of runs in percent.
    RunProgress(Vec<(TaskRef, u8)>),
    /// A read of the evacuated domains has ended; answers [`AgentAction::ReadEvacuations`].
    EvacuationsRead {
        /// The read.
        read: ReadId,
        /// The whole set, `None` if the read has failed.
        answer: Option<Evacuations>,
    },
    /// The process adopted a configuration with a higher version.
    ConfigAdopted(Arc<Config>),
    /// The configuration that an entry requested; answers [`AgentAction::ConfigRequested`].
    ConfigBody {
        /// Connection to the entry that requested it.
        connection: ConnectionId,
        /// The complete configuration, serialized.
        body: Box<RawValue>,
    },
    /// A graceful shutdown begins.
    Shutdown,
    /// Periodic timer: leases are checked.
    Tick,
}

/// Outcome of an attempt to run a task.
#[derive(Debug, Clone, Display)]
pub enum RunEnd {
    /// The task certainly has not started and never will.
    #[display("not started: {_0}")]
    NotStarted(NotRunReason),
    /// The task was started and its run is over; the outcome may be unknown.
    Finished(TaskOutcome),
}

/// Output of [`Agent::handle`](super::Agent::handle) and [`Agent::flush`](super::Agent::flush), which the
/// caller must perform.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Sends a report to an entry; the reply arrives as [`AgentEvent::ReportAcked`].
    SendReport {
        /// Connection to the entry.
        connection: ConnectionId,
        /// The report.
        report: Report,
    },
    /// Closes a connection to an entry.
    CloseConnection {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// How recently the entries of the active repeatable runs were heard of, when that has changed. No lease of a run
    /// may outlast what follows from it.
    EntriesHeard {
        /// When the entry that was silent for longest was last heard of; `None` without such runs.
        earliest: Option<Moment>,
    },
    /// Whether the failure domain of the target is evacuated, when that has changed: no run may be requested meanwhile,
    /// also none that was to be started before.
    DomainEvacuated(bool),
    /// Reads the evacuated domains from the store; the caller answers with [`AgentEvent::EvacuationsRead`]. Reads may
    /// overlap; one without an answer is no longer waited for after the bound of the agent.
    ReadEvacuations {
        /// Number of the read.
        read: ReadId,
    },
    /// Starts a task on the target.
    StartRun {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// Group whose share is charged for the run time.
        group: GroupId,
        /// Service to call on the target.
        service: ServiceName,
        /// Run time that the caller expects; zero if unknown.
        declared_ms: Millis,
        /// Label that the target must have when the task starts.
        label: Option<Label>,
        /// Address of the target.
        address: SocketAddr,
        /// Time until the submission is answered, whether or not the task has ended by then.
        time_left_ms: Millis,
        /// Request body for the target.
        body: Arc<RawValue>,
    },
    /// Stops a run whose result is no longer wanted; the caller reports its end as that of any other run.
    StopRun {
        /// Attempt that the run belongs to.
        task: TaskRef,
    },
    /// An entry opened a session.
    SessionOpened {
        /// Connection of the session.
        connection: ConnectionId,
        /// Terms of the session.
        open: SessionParams,
    },
    /// Addresses of entries that the agent may connect to.
    EntryAddresses(Vec<EntryAddress>),
    /// An entry sent a configuration, complete or as a diff.
    ConfigReceived(Box<RawValue>),
    /// An entry requests the configuration of the agent; the caller answers with [`AgentEvent::ConfigBody`].
    ConfigRequested {
        /// Connection to the entry.
        connection: ConnectionId,
        /// Version of the agent's configuration.
        version: ConfigVersion,
    },
    /// The lease of an entry expired: its queued tasks were dropped and its repeatable runs stopped.
    EntryLeaseExpired {
        /// Entry whose lease expired.
        entry: EntryId,
        /// Number of tasks that were dropped or stopped.
        dropped: u32,
    },
    /// Emits a log event.
    Observe(Observation),
    /// The graceful shutdown is complete.
    ShutdownComplete,
}

/// An occurrence for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A task was started on the target.
    RunStarted {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// Time that the task spent in the queue of the agent.
        wait_ms: Millis,
        /// Load of the target including this task, in thousandths.
        load_permille: u32,
    },
    /// A run has ended.
    RunEnded {
        /// Attempt that the run belonged to.
        task: TaskRef,
        /// Display text of the [`RunEnd`].
        outcome: String,
        /// Time since the start, in microseconds.
        run_us: u64,
    },
    /// A task was handed back to its entry without being started.
    TaskHandedBack {
        /// The task.
        task: TaskRef,
        /// Reason that the entry receives.
        reason: NotRunReason,
        /// Load of the target, in thousandths.
        load_permille: u32,
    },
    /// The set of evacuated failure domains has changed.
    EvacuationsChanged {
        /// The new set.
        evacuations: Evacuations,
        /// Where it came from.
        source: EvacuationSource,
    },
    /// No entry has confirmed the set for too long: the agent reads the store itself.
    EvacuationsUnconfirmed {
        /// Age of the set; `None` if it was never confirmed.
        age_ms: Option<Millis>,
    },
    /// An entry confirms the set again.
    EvacuationsConfirmed {
        /// Time since the agent began to read the store.
        unconfirmed_ms: Millis,
        /// Number of reads in this time.
        reads: u64,
        /// Number of those that the store has answered.
        answered: u64,
    },
    /// The target has crashed.
    TargetCrashed {
        /// Runs that ended with it.
        runs: Vec<CrashedRun>,
    },
    /// The target was asked to stop a run.
    RunStopRequested {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// Cause for the log.
        cause: &'static str,
    },
}

/// Source of a set of evacuated failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationSource {
    /// A read of the agent.
    Store,
    /// An entry, over a session.
    Entry,
}
