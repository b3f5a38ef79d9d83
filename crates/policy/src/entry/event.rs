//! Events and actions of an entry.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::api::Answer;
use dfs_wire::session::Ack;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::EntryItem;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::session::ToAgent;
use serde_json::value::RawValue;

use crate::ConnectionId;

/// What happens to an entry.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A caller submits tasks.
    Submit(Submission),
    /// A caller gives up a submission.
    Cancel {
        /// The submission.
        submission: SubmissionId,
    },
    /// An agent subscribes; its secret has been checked.
    Attach {
        /// The connection.
        connection: ConnectionId,
        /// The agent.
        attach: Attach,
    },
    /// An agent reports.
    Report {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: Report,
    },
    /// A connection broke or lagged.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A higher version of the configuration was adopted.
    Configured(Arc<Config>),
    /// The entries that agents may dial have changed.
    EntriesChanged(Vec<EntryAddress>),
    /// Passes an item to an agent, if its session still stands.
    SendItem {
        /// The connection.
        connection: ConnectionId,
        /// The item.
        item: EntryItem,
    },
    /// A planned stop begins.
    Stop,
    /// Time has passed.
    Tick,
}

/// Tasks of one caller.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Assigned by the entry; unique across all entries.
    pub id: SubmissionId,
    /// The group that pays.
    pub group: GroupId,
    /// The service to call.
    pub service: ServiceName,
    /// One body for each task.
    pub tasks: Vec<Arc<RawValue>>,
    /// Time in which the caller wants the answer.
    pub deadline_ms: Option<Millis>,
    /// What each task needs, and how urgent it is.
    pub terms: Terms,
    /// Time in which the caller hopes for the answer; later ones go behind those that can still
    /// make it.
    pub objective_ms: Option<Millis>,
    /// Runs of one task that may end in a failure before the submission fails; at least one.
    pub max_failures: u32,
    /// Where its tasks may run.
    pub constraints: Constraints,
    /// The queue that it was handed in to, if any.
    pub queue: Option<QueueName>,
}

/// Where the tasks of a submission may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Label that a target must have.
    pub label: Option<Label>,
    /// Most tasks of the submission that may be open on one target.
    pub max_per_target: Option<u32>,
}

/// What an entry does.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Gives the final answer of a submission; exactly one for each.
    Answer {
        /// The submission.
        submission: SubmissionId,
        /// The answer.
        answer: Answer,
    },
    /// Sends a message to an agent.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: ToAgent,
    },
    /// Replies to a report.
    Reply {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        seq: u64,
        /// The acknowledgement, or why there is none.
        reply: Result<Ack, ReportError>,
    },
    /// Closes a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// An agent that takes its configuration here holds an older version.
    OfferConfig {
        /// The connection.
        connection: ConnectionId,
        /// Version that the agent holds.
        have: ConfigVersion,
    },
    /// An agent sent the configuration that it holds.
    ConfigReceived(Box<RawValue>),
    /// Something that the log and the metrics record.
    Observe(Observation),
    /// The planned stop is complete.
    Stopped,
}

/// Something that the log and the metrics record.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A session is open.
    SessionOpened {
        /// The agent.
        agent: AgentId,
    },
    /// An agent was silent past its lease or came back as a new incarnation.
    AgentLost {
        /// The agent.
        agent: AgentId,
        /// Tasks settled as unknown.
        outstanding_tasks: u64,
    },
    /// Tasks take far longer on a target than elsewhere.
    TargetSlow {
        /// The agent beside it.
        agent: AgentId,
        /// Run time over the expected one, in thousandths.
        stretch_permille: u32,
    },
    /// A target was set aside.
    TargetEjected {
        /// The agent beside it.
        agent: AgentId,
    },
    /// Tasks were handed to an agent.
    TasksPlaced {
        /// The submission.
        submission: SubmissionId,
        /// The agent.
        agent: AgentId,
        /// The tasks with their attempts.
        tasks: Vec<(TaskIndex, Attempt)>,
        /// Load of the target with them as far as is known, in thousandths.
        load_permille: u32,
        /// Age of what is known of the load.
        hint_age_ms: Millis,
        /// Time since the submission arrived.
        age_ms: Millis,
    },
    /// A task that was placed is queued again.
    TaskRequeued {
        /// The attempt that is over.
        task: TaskRef,
        /// Where it was.
        agent: AgentId,
        /// Why.
        cause: String,
    },
    /// A submission can't be answered when it is due any more.
    ObjectiveUnreachable {
        /// The submission.
        submission: SubmissionId,
        /// Time since it arrived.
        age_ms: Millis,
    },
    /// A task ended well.
    TaskDone {
        /// The group.
        group: GroupId,
        /// The service.
        service: ServiceName,
        /// Time from submission to start, in microseconds.
        wait_us: u64,
        /// Run time on the target, in microseconds.
        run_us: u64,
    },
    /// A submission was answered whole.
    SubmissionCompleted {
        /// The group.
        group: GroupId,
        /// The service.
        service: ServiceName,
        /// Time from submission to answer, in microseconds.
        response_us: u64,
        /// Longest run time of its tasks, in microseconds.
        longest_run_us: u64,
        /// Its tasks.
        tasks: u64,
        /// Messages that carried its tasks and results.
        messages: u64,
    },
    /// A further attempt was made.
    TaskRetried {
        /// The group.
        group: GroupId,
    },
    /// A further attempt was refused by the budget.
    RetryRefused {
        /// The group.
        group: GroupId,
    },
}
