//! Requests to a target that enforces fencing tokens, its responses, and the events and actions of [`Runs`].
//!
//! [`Runs`]: super::Runs

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TargetId;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;

use crate::agent::RunEnd;

/// Fencing token of requests to a target. It increases with each incarnation of the agent and with each
/// start that is not answered; a target that has seen a higher token refuses requests with a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct FencingToken(pub u64);

/// A time on the target's own clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct TargetTime(pub u64);

/// Number of a run of a task on one target, starting at 1; a later run of the task has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct RunNumber(pub u32);

/// Identifies one incarnation of a target: the time at which it started, as reported by the target. A
/// later incarnation has a higher value, unless the target's time of day was set back in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct TargetIncarnation(pub u64);

/// A task as the target receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// Name of the task on the target; all attempts share it, including those placed by different entries.
    pub name: Arc<str>,
    /// Input of the task; only the target interprets it.
    pub payload: Arc<str>,
}

/// A request to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Target that must execute the request; `None` if no heartbeat has named it yet.
    pub target: Option<TargetId>,
    /// The task to run.
    pub spec: TaskSpec,
    /// Number of the new run; the target refuses numbers that it has already stopped or finished.
    pub run: RunNumber,
    /// New end of the lease that all runs on the target share.
    pub lease_until: TargetTime,
    /// Token of the agent when it sent the request.
    pub token: FencingToken,
}

/// A request to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRequest {
    /// Target that must execute the request; `None` if no heartbeat has named it yet.
    pub target: Option<TargetId>,
    /// [`TaskSpec::name`] of the task.
    pub name: Arc<str>,
    /// Number of the run; the target also refuses later starts with this number or a lower one.
    pub run: RunNumber,
    /// Token of the agent when it sent the request.
    pub token: FencingToken,
}

/// A long poll for the runs of a target, which also renews their lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollRequest {
    /// Target that must execute the request; `None` if no heartbeat has named it yet.
    pub target: Option<TargetId>,
    /// New end of the lease that all runs on the target share; `None` leaves the lease unchanged.
    pub lease_until: Option<TargetTime>,
    /// Token of the agent when it sent the request.
    pub token: FencingToken,
    /// [`EndedRun::sequence`] of the last end that the agent has processed; the target discards all ends
    /// up to it.
    pub last_acked_end: u64,
    /// Time for which the target may hold the response until another run ends.
    pub wait_ms: Millis,
    /// When the request was sent, by the agent's clock.
    pub sent_at: Moment,
}

/// Outcome of a start or stop request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The target executed the request.
    Done {
        /// Time of the target's clock, if the response contains it.
        clock: Option<TargetTime>,
    },
    /// The request certainly has no effect.
    Refused {
        /// Reason given by the target, or derived from the failed connection.
        refusal: Refusal,
        /// Time of the target's clock, if the response contains it.
        clock: Option<TargetTime>,
    },
    /// No usable response: the request may have been executed, or may still be executed later.
    Unknown {
        /// Error text for the log.
        message: String,
    },
}

/// Why a request has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// The target has seen a higher fencing token.
    #[display("fenced")]
    Fenced,
    /// A run of the task with this number or a higher one was stopped or has ended.
    #[display("stale run")]
    StaleRun,
    /// The requested lease end is already in the past of the target's clock.
    #[display("lease expired")]
    LeaseExpired,
    /// The target has no free capacity.
    #[display("no capacity")]
    NoCapacity,
    /// The target temporarily accepts no requests, or could not be reached.
    #[display("unhealthy")]
    Unhealthy,
    /// No process listens at the target's address.
    #[display("not listening")]
    NotListening,
    /// The target could not parse the request or does not accept the task.
    #[display("malformed")]
    Malformed,
    /// Another incarnation of the target answered.
    #[display("wrong incarnation")]
    WrongIncarnation,
    /// The request was not sent, because the failure domain of the target was evacuated first.
    #[display("evacuated")]
    Evacuated,
}

/// Outcome of a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollOutcome {
    /// The target returned its runs.
    Runs(RunSnapshot),
    /// The target has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the target answered.
    WrongIncarnation,
    /// No process listens at the target's address.
    NotListening,
    /// The connection broke while the poll waited for its response.
    Disconnected {
        /// Error text for the log.
        message: String,
    },
    /// No usable response.
    Failed {
        /// Error text for the log.
        message: String,
    },
}

/// Runs of a target at one point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSnapshot {
    /// Time of the target's clock when it took the snapshot.
    pub clock: TargetTime,
    /// Incarnation of the target, if it reports one.
    pub incarnation: Option<TargetIncarnation>,
    /// Runs that have not ended.
    pub running: Vec<ActiveRun>,
    /// Ended runs with a sequence number above [`PollRequest::last_acked_end`], in ascending order.
    pub ended: Vec<EndedRun>,
    /// Whether `ended` certainly contains all these ends. If it does not, nothing follows from a run that is not
    /// listed.
    pub is_complete: bool,
}

/// A run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// [`TaskSpec::name`] of the task.
    pub name: Arc<str>,
    /// Number of the run.
    pub run: RunNumber,
    /// Progress in percent.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Position among all ends of this incarnation of the target, starting at 1.
    pub sequence: u64,
    /// [`TaskSpec::name`] of the task.
    pub name: Arc<str>,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// Identifies one end among all that a target has listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedEnd {
    /// [`EndedRun::sequence`] of the end.
    pub sequence: u64,
    /// Incarnation of the target that listed it, if it reports one.
    pub incarnation: Option<TargetIncarnation>,
}

/// How a run ended, as reported by the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped before the task completed; contains the reason as reported by the target.
    Interrupted(String),
}

/// Periodic self-report of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Id of the target; an incarnation may take over the id of the one before it.
    pub target: TargetId,
    /// Incarnation of the target, if it reports one.
    pub incarnation: Option<TargetIncarnation>,
    /// Increases with each heartbeat of one incarnation; a heartbeat that is not newer is ignored.
    pub sequence: u64,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target is draining: it finishes its runs but takes no new tasks.
    pub is_draining: bool,
    /// Services, slots and resources that the target offers.
    pub offer: Offer,
}

impl Heartbeat {
    /// The action for a heartbeat that the target's answers contradict; `current` is the incarnation that they show.
    pub(super) fn rejected(self, current: Option<TargetIncarnation>) -> RunsAction {
        RunsAction::HeartbeatRejected {
            target: self.target,
            incarnation: self.incarnation,
            current,
        }
    }

    /// Whether another heartbeat says the same, whenever it was sent.
    pub(super) fn agrees_with(&self, other: &Self) -> bool {
        let sequence = self.sequence;
        *self
            == Self {
                sequence,
                ..other.clone()
            }
    }
}

/// An attempt that ended with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedAttempt {
    /// Attempt that the run belonged to.
    pub task: TaskRef,
    /// Whether the target had confirmed that the run was started; otherwise it may not have begun.
    pub is_confirmed: bool,
}

/// What shows that the runs of earlier incarnations of the agent have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TakeoverEvidence {
    /// A complete list of the target has none of them.
    #[display("the target lists none")]
    List,
    /// The longest lease that they can have is over.
    #[display("their lease is over")]
    LeaseOver,
}

/// Input of [`Runs::handle`](super::Runs::handle).
#[derive(Debug, Clone)]
pub enum RunsEvent {
    /// The agent wants a task to start.
    StartTask {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// The task to run.
        spec: TaskSpec,
        /// Label that the target must have, if any.
        label: Option<Label>,
    },
    /// The agent wants a task to stop.
    StopTask {
        /// Attempt to stop.
        task: TaskRef,
    },
    /// How recently the entries of the active runs were heard of; sent before the first run of each, and whenever it
    /// has changed.
    EntriesHeard {
        /// When the entry that was silent for longest was last heard of; `None` without runs.
        earliest: Option<Moment>,
    },
    /// Whether the failure domain of the target is evacuated: then no run may be requested.
    DomainEvacuated(bool),
    /// A stop request was answered or timed out.
    StopCompleted {
        /// The request as it was sent.
        request: StopRequest,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// A start request was answered or timed out.
    StartCompleted {
        /// The request as it was sent.
        request: StartRequest,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// A poll was answered or timed out.
    PollCompleted {
        /// The request as it was sent.
        poll: PollRequest,
        /// Outcome of the poll.
        outcome: PollOutcome,
    },
    /// The target sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The store holds a heartbeat that an earlier incarnation of the agent received.
    HeartbeatRecalled(Heartbeat),
    /// The store has confirmed a [`RunsAction::StoreHeartbeat`].
    HeartbeatStored(Heartbeat),
    /// The target announced that it shuts down.
    Deregistered {
        /// Id of the target; an incarnation may take over the id of the one before it.
        target: TargetId,
    },
    /// Periodic timer: leases and timeouts are checked.
    Tick,
}

/// Output of [`Runs::handle`](super::Runs::handle), which the caller must perform.
#[derive(Debug, Clone)]
pub enum RunsAction {
    /// Sends a start request; the caller answers with [`RunsEvent::StartCompleted`].
    SendStart(StartRequest),
    /// Sends a stop request; the caller answers with [`RunsEvent::StopCompleted`]. A later poll reports the end of the
    /// run.
    SendStop(StopRequest),
    /// Sends a poll; the caller answers with [`RunsEvent::PollCompleted`].
    SendPoll(PollRequest),
    /// A run has ended, or certainly never starts.
    TaskEnded {
        /// Attempt that the run belonged to.
        task: TaskRef,
        /// [`TaskSpec::name`] of the task.
        name: Arc<str>,
        /// Number of the run; `None` if none was requested.
        run: Option<RunNumber>,
        /// Position of the end in the target's list; `None` if the target did not list it.
        listed: Option<ListedEnd>,
        /// Time until the last lease of the run is certainly over.
        lease_left_ms: Millis,
        /// Time since the start was requested, in microseconds.
        run_us: u64,
        /// Outcome for the entry.
        end: RunEnd,
    },
    /// The target has started anew, unplanned, under these attempts, or has not listened for the time of a lease.
    /// Emitted before the ends of their runs, or after them if the leases of the runs had expired first.
    TargetCrashed(Vec<CrashedAttempt>),
    /// Progress of the active runs in percent.
    Progress(Vec<(TaskRef, u8)>),
    /// Announces the target to the agent, or renews its announcement.
    Announce(Announcement),
    /// Stores a heartbeat for the next incarnation of the agent; the caller answers with
    /// [`RunsEvent::HeartbeatStored`] if that succeeds.
    StoreHeartbeat(Heartbeat),
    /// Withdraws the announcement: the target accepts no new tasks.
    Goodbye,
    /// The takeover is complete: no run of an earlier incarnation of the agent continues on the target.
    TakenOver {
        /// Token of the agent at this time.
        token: FencingToken,
        /// Stop requests sent to runs of earlier incarnations.
        stopped_runs: usize,
        /// What has shown that they have ended.
        evidence: TakeoverEvidence,
    },
    /// The target lists a run that this process has not started, or takes for over.
    StrayRun {
        /// [`TaskSpec::name`] of the task.
        name: Arc<str>,
        /// Number of the run.
        run: RunNumber,
    },
    /// Polls have failed for too long; the announcement was withdrawn.
    TargetUnreachable {
        /// Runs that continue until their lease expires.
        running_tasks: usize,
        /// Error text of the last poll.
        message: String,
    },
    /// Another incarnation of the target has answered or sent a heartbeat.
    TargetRestarted {
        /// Incarnation known before, from a snapshot or a heartbeat; `None` if there was none since the last
        /// restart.
        previous: Option<TargetIncarnation>,
        /// The new incarnation; `None` if the target has not named it yet.
        current: Option<TargetIncarnation>,
        /// Runs that were running or may have been running on the previous one.
        tracked_runs: usize,
    },
    /// A heartbeat was dropped because the target's answers contradict it.
    HeartbeatRejected {
        /// Id that the heartbeat named.
        target: TargetId,
        /// Incarnation that the heartbeat named.
        incarnation: Option<TargetIncarnation>,
        /// Incarnation that answers; `None` if it does not name itself.
        current: Option<TargetIncarnation>,
    },
    /// The target refused a start request.
    StartRefused {
        /// Attempt that the run belongs to.
        task: TaskRef,
        /// [`TaskSpec::name`] of the task.
        name: Arc<str>,
        /// Number of the run that was requested.
        run: RunNumber,
        /// Reason given by the target.
        refusal: Refusal,
    },
    /// A start request was not answered, so that the token was raised.
    StartUnanswered {
        /// [`TaskSpec::name`] of the task.
        name: Arc<str>,
        /// Token of later requests; a poll with it resolves the start.
        token: FencingToken,
        /// Error text for the log.
        message: String,
    },
}
