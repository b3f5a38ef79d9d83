//! Orders to a target that checks fencing tokens, and what it answers.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TargetId;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;

use crate::agent::RunEnd;

/// Number that rises with each life of an agent and each order without an answer; a target that has
/// seen a higher one does nothing for a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct FencingToken(pub u64);

/// A point of the target's own clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct TargetTime(pub u64);

/// Number of a run of a task on one target, from one; a later run has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct RunNumber(pub u32);

/// Start of one life of a target, by its own account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct TargetIncarnation(pub u64);

/// What a task is given, with the name under which the target knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// Name on the target; attempts of one task share it, also those of several entries.
    pub name: Arc<str>,
    /// Opaque to everyone but the target.
    pub payload: Arc<str>,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Life of the target that is meant.
    pub target: Option<TargetId>,
    /// What to run.
    pub spec: TaskSpec,
    /// Number of the run.
    pub run: RunNumber,
    /// End of the lease of all runs there.
    pub lease_until: TargetTime,
    /// Token of the order.
    pub token: FencingToken,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRequest {
    /// Life of the target that is meant.
    pub target: Option<TargetId>,
    /// Name of the task.
    pub name: Arc<str>,
    /// Number of the run; lower ones are barred too.
    pub run: RunNumber,
    /// Token of the order.
    pub token: FencingToken,
}

/// A look at the runs of a target, which renews their lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollRequest {
    /// Life of the target that is meant.
    pub target: Option<TargetId>,
    /// End of the lease of all runs there; none: as it is.
    pub lease_until: Option<TargetTime>,
    /// Token of the order.
    pub token: FencingToken,
    /// Number of the last end that is known; the target forgets the ends up to it.
    pub last_acked_end: u64,
    /// Time for which the answer waits for another end.
    pub wait_ms: Millis,
    /// When it was sent.
    pub sent_at: Moment,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It is carried out.
    Done {
        /// The target's clock.
        clock: Option<TargetTime>,
    },
    /// It is not carried out.
    Refused {
        /// Why.
        refusal: Refusal,
        /// The target's clock.
        clock: Option<TargetTime>,
    },
    /// It was carried out, was not, or still will be.
    Unknown {
        /// What happened.
        message: String,
    },
}

/// Why a target does not carry an order out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    #[display("fenced")]
    Fenced,
    /// A run with this number or a higher one was stopped or has ended there.
    #[display("old run")]
    StaleRun,
    /// The lease has ended already.
    #[display("lease over")]
    LeaseExpired,
    /// Its capacity is taken.
    #[display("no room")]
    NoCapacity,
    /// It takes no orders for now, or could not be reached.
    #[display("unhealthy")]
    Unhealthy,
    /// The order is malformed.
    #[display("malformed")]
    Malformed,
    /// Another life of the target is there.
    #[display("other life")]
    WrongIncarnation,
}

/// What became of a look.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollOutcome {
    /// All runs.
    Runs(RunSnapshot),
    /// The target has seen a higher fencing token.
    Fenced,
    /// Another life of the target is there.
    WrongIncarnation,
    /// No answer.
    Failed {
        /// What happened.
        message: String,
    },
}

/// All runs of a target at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSnapshot {
    /// The target's clock.
    pub clock: TargetTime,
    /// Its life, where it tells.
    pub incarnation: Option<TargetIncarnation>,
    /// Runs that go on.
    pub running: Vec<ActiveRun>,
    /// Ends above the number that was seen, in order.
    pub ended: Vec<EndedRun>,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Name of the task.
    pub name: Arc<str>,
    /// The run.
    pub run: RunNumber,
    /// Part of its work that is done, in hundredths.
    pub percent: u8,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Position among all ends of this life of the target, from one.
    pub sequence: u64,
    /// Name of the task.
    pub name: Arc<str>,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was ended before it was done.
    Interrupted(String),
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The target's name in this life.
    pub target: TargetId,
    /// Its life, where it tells.
    pub incarnation: Option<TargetIncarnation>,
    /// Rises with each heartbeat of one life.
    pub sequence: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// What it offers.
    pub offer: Offer,
}

/// What happens to the runs of a target.
#[derive(Debug, Clone)]
pub enum RunsEvent {
    /// A task is to start.
    StartTask {
        /// The attempt.
        task: TaskRef,
        /// What to run.
        spec: TaskSpec,
    },
    /// A task is to be stopped.
    StopTask {
        /// The attempt.
        task: TaskRef,
    },
    /// An order to start was answered.
    StartCompleted {
        /// The order.
        request: StartRequest,
        /// What became of it.
        outcome: RequestOutcome,
    },
    /// A look was answered.
    PollCompleted {
        /// The look.
        poll: PollRequest,
        /// What became of it.
        outcome: PollOutcome,
    },
    /// The target sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The target is about to end.
    Deregistered {
        /// The target's name in this life.
        target: TargetId,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done about the runs of a target.
#[derive(Debug, Clone)]
pub enum RunsAction {
    /// Sends an order to start.
    SendStart(StartRequest),
    /// Sends an order to stop; its answer is not needed, as the end is seen.
    SendStop(StopRequest),
    /// Looks at the runs.
    SendPoll(PollRequest),
    /// A run has ended, or certainly never starts.
    TaskEnded {
        /// The attempt.
        task: TaskRef,
        /// Time since the start, in microseconds.
        run_us: u64,
        /// How it ended.
        end: RunEnd,
    },
    /// How far the runs have come, in hundredths of their work.
    Progress(Vec<(TaskRef, u8)>),
    /// The target may be used.
    Announce(Announcement),
    /// The target takes no new tasks.
    Goodbye,
    /// The agent commands the target; no run of an earlier life of the agent goes on there.
    TakenOver {
        /// The token of all orders from now on.
        token: FencingToken,
        /// Runs that were stopped for it.
        stopped_runs: usize,
    },
    /// The target does not answer.
    TargetUnreachable {
        /// Runs that go on until their lease lapses.
        running_tasks: usize,
        /// What happened.
        message: String,
    },
    /// An order was not answered.
    StartUnanswered {
        /// Name of the task.
        name: Arc<str>,
        /// The token of later orders.
        token: FencingToken,
        /// What happened.
        message: String,
    },
}
