//! Inputs and outputs of the entry state machine.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::EvacuationUpdate;
use dfs_conf::Evacuations;
use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::JobName;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::api::Answer;
use dfs_wire::session::Ack;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use serde_json::value::RawValue;

use crate::ConnectionId;
use crate::crashes::TaskKey;

/// Input of [`Entry::handle`](super::Entry::handle).
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A caller submits tasks.
    Submit(Submission),
    /// A caller cancels its submission or has disconnected.
    Cancel {
        /// Ignored if it is no longer open.
        submission: SubmissionId,
    },
    /// An agent opens a session; the caller has verified its secret.
    Attach {
        /// Connection on which the entry sends messages of the session.
        connection: ConnectionId,
        /// Parameters sent by the agent.
        attach: Attach,
    },
    /// An agent sent a report.
    Report {
        /// Connection on which it arrived.
        connection: ConnectionId,
        /// Answered by exactly one [`EntryAction::Reply`].
        report: Report,
    },
    /// A connection broke, or was dropped because the agent read too slowly.
    ConnectionLost {
        /// Ignored if the agent has attached on another connection since.
        connection: ConnectionId,
    },
    /// A configuration is available; ignored unless its version is higher than the active one.
    Configured(Arc<Config>),
    /// The source of the configuration was read for evacuated failure domains.
    EvacuationsRead {
        /// What the read shows.
        update: EvacuationUpdate,
        /// When the read was sent, by the clock of the entry.
        sent_at: Moment,
    },
    /// The list of entries that agents may connect to, sent whenever it has changed.
    EntriesChanged(Vec<EntryAddress>),
    /// Sends an item to an agent.
    SendItem {
        /// Connection of the agent's session; the item is dropped if the connection is closed.
        connection: ConnectionId,
        /// Item to send.
        item: EntryItem,
    },
    /// A graceful shutdown begins: no submission is admitted any more, open ones are completed.
    Shutdown,
    /// Sent periodically, so that leases and deadlines expire without other events.
    Tick,
}

/// Tasks submitted by one caller, answered as a whole.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Assigned by the entry; unique across all entries.
    pub id: SubmissionId,
    /// Group whose share and limits apply.
    pub group: GroupId,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Request body of each task.
    pub tasks: Vec<Arc<RawValue>>,
    /// Time after which the submission fails; the configured default if absent.
    pub deadline_ms: Option<Millis>,
    /// Resource demand, priority, expected run time, repeatability and label of each task.
    pub terms: Terms,
    /// Latency objective. A submission that can no longer meet it is queued behind those that can.
    pub objective_ms: Option<Millis>,
    /// Number of failed runs of one task at which the submission fails, where 0 counts as 1; `None` for no
    /// limit. That of its queue in the active configuration goes before it.
    pub max_failures: Option<u32>,
    /// Restricts the targets on which tasks may be placed.
    pub constraints: Constraints,
    /// Name that its caller gave the job; one that is submitted again has the same.
    pub job: Option<JobName>,
    /// Named queue through which it was submitted, if any.
    pub queue: Option<QueueName>,
}

/// Restricts the targets on which the tasks of a submission may be placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Maximum number of tasks of the submission that are placed on one target at the same time.
    pub max_per_target: Option<u32>,
}

/// Output of [`Entry::handle`](super::Entry::handle) and [`Entry::flush`](super::Entry::flush).
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answers the caller of a submission; emitted exactly once for each submission.
    Answer {
        /// Submission that is answered and no longer open.
        submission: SubmissionId,
        /// Results of all tasks, or the failure of the submission.
        answer: Answer,
    },
    /// Sends a message to an agent.
    Send {
        /// Connection of the agent's session.
        connection: ConnectionId,
        /// Numbered within the session.
        message: EntryMessage,
    },
    /// Replies to a report; emitted exactly once for each report.
    Reply {
        /// Connection on which the report arrived.
        connection: ConnectionId,
        /// Sequence number of the report.
        seq: u64,
        /// Acknowledgement, or an error if the report belongs to no current session.
        reply: Result<Ack, ReportError>,
    },
    /// Closes a connection whose session has been replaced or whose agent's lease has expired.
    Close {
        /// No further message is sent on it.
        connection: ConnectionId,
    },
    /// Sends the active configuration to an agent that holds an older version.
    OfferConfig {
        /// Connection of the agent's session.
        connection: ConnectionId,
        /// Version that the agent holds; base of the diff to send.
        have: ConfigVersion,
    },
    /// An agent sent the configuration that it holds, not yet parsed or verified.
    ConfigReceived(Box<RawValue>),
    /// Records an observation in the log and the metrics.
    Observe(Observation),
    /// The graceful shutdown is complete: no submission is open.
    ShutdownComplete,
}

/// State change that is recorded in the log and the metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// An agent has listed its held tasks, which opens its session.
    SessionOpened {
        /// Agent at the other end.
        agent: AgentId,
    },
    /// An agent's lease has expired, or the agent was restarted.
    AgentLost {
        /// Agent whose incarnation is gone.
        agent: AgentId,
        /// Number of tasks that it had not settled, also those of answered submissions.
        outstanding_tasks: u64,
    },
    /// Tasks run far longer on a target than on the others.
    TargetSlow {
        /// Agent of the target.
        agent: AgentId,
        /// Ratio of run time to expected run time, in thousandths.
        slowdown_permille: u32,
    },
    /// A target is excluded from placement for a while because its tasks fail.
    TargetEjected {
        /// Agent of the target.
        agent: AgentId,
    },
    /// Tasks of one submission were sent to an agent in one message.
    TasksPlaced {
        /// Submission of the tasks.
        submission: SubmissionId,
        /// Agent that received them.
        agent: AgentId,
        /// Tasks with their attempts.
        tasks: Vec<(TaskIndex, Attempt)>,
        /// Last known load of the target with the tasks of this pass, in thousandths.
        load_permille: u32,
        /// Age of the load hint on which the load is based.
        hint_age_ms: Millis,
        /// Time since the submission arrived.
        age_ms: Millis,
    },
    /// Tasks that prefer targets near their data were sent to an agent.
    NearDataPlaced(NearPlacement),
    /// A placed task is back in the queue under its next attempt.
    TaskRequeued {
        /// Attempt that has ended.
        task: TaskRef,
        /// Agent on which it was placed.
        agent: AgentId,
        /// Why the attempt has ended.
        cause: String,
    },
    /// A failed run counts towards the limit of its submission.
    FailureCounted(CountedFailure),
    /// The target of an agent has crashed.
    CrashReported {
        /// Agent of the target.
        agent: AgentId,
        /// Number of tasks that ran on the target.
        accused: usize,
        /// Time since the agent noticed the crash.
        age_ms: Millis,
    },
    /// A task is not run again, because targets have crashed under it.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// Number of targets that have crashed under it.
        crashes: u32,
    },
    /// The tasks of a queue may use only some targets, because they crash targets.
    QueueContained {
        /// The queue.
        queue: QueueName,
        /// Number of targets that its tasks may use.
        targets: usize,
        /// Number of targets of its service, as far as known.
        service_targets: usize,
    },
    /// The tasks of a queue may use all targets again.
    QueueReleased {
        /// The queue.
        queue: QueueName,
    },
    /// The set of evacuated failure domains has changed.
    EvacuationsChanged {
        /// The new set.
        evacuations: Evacuations,
        /// Where it comes from.
        source: EvacuationSource,
    },
    /// A queued submission can no longer meet its latency objective.
    ObjectiveUnreachable {
        /// Submission that is moved behind those that can.
        submission: SubmissionId,
        /// Time since the submission arrived.
        age_ms: Millis,
    },
    /// A task of an open submission succeeded.
    TaskDone {
        /// Group of the submission.
        group: GroupId,
        /// Service that ran the task.
        service: ServiceName,
        /// Time from submission to the result less the run time, in microseconds.
        wait_us: u64,
        /// Run time on the target, in microseconds.
        run_us: u64,
    },
    /// A submission was answered with the results of all tasks.
    SubmissionCompleted {
        /// Group of the submission.
        group: GroupId,
        /// Service that ran the tasks.
        service: ServiceName,
        /// Time from submission to answer, in microseconds.
        response_us: u64,
        /// Longest run time of its tasks, in microseconds.
        longest_run_us: u64,
        /// Number of tasks.
        tasks: u64,
        /// Number of messages that carried its tasks or results.
        messages: u64,
    },
    /// A task was requeued after a refused attempt or an unknown outcome.
    TaskRetried {
        /// Group whose retry budget was charged.
        group: GroupId,
    },
    /// A task was not retried: its attempts or the retry budget of its group are used up.
    RetryRefused {
        /// Group of the submission.
        group: GroupId,
    },
}

/// Source of a set of evacuated failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationSource {
    /// The source of the configuration.
    Store,
    /// An agent, over a session.
    Agent,
}

/// Tasks of one submission that prefer targets near their data, sent to one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NearPlacement {
    /// Submission of the tasks.
    pub submission: SubmissionId,
    /// Agent that received them.
    pub agent: AgentId,
    /// Label of the targets near the data.
    pub near: Label,
    /// Whether the target has the label.
    pub is_near: bool,
    /// Number of tasks.
    pub tasks: u64,
    /// Number of those that have waited for a near target while others had room.
    pub waited_tasks: u64,
    /// Sum of the times that these have waited.
    pub waited_ms: Millis,
    /// Sum of the run times by which the runs of these tasks are expected to be shorter than away from the data;
    /// zero if they were placed away from it in the end.
    pub saved_ms: Millis,
}

/// A failed run that counts towards the limit of its submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedFailure {
    /// Attempt that failed.
    pub task: TaskRef,
    /// Agent that reported the failure.
    pub agent: AgentId,
    /// Failed runs of the task so far, including this one.
    pub failed_runs: u32,
    /// Number of failed runs at which the submission fails; `None` for no limit.
    pub max_failures: Option<u32>,
    /// The same limit when the submission arrived, which holds once its queue is gone.
    pub submitted_max_failures: Option<u32>,
    /// Active version of the configuration.
    pub version: Option<ConfigVersion>,
}
