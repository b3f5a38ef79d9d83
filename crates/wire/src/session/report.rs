//! Reports from agent to entry, and their acknowledgements.

use derive_more::Display;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::SessionNumber;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use snafu::Snafu;

use super::Evacuations;
use super::GivenUpTask;
use super::TargetCrash;
use super::TaskRef;
use super::TaskResult;
use super::TypicalRuns;
use super::terms::is_default;
use crate::target::Offer;

/// Parameters of a report call. Every acknowledged report renews the lease of the session.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Session to which the report belongs.
    pub session: SessionNumber,
    /// Sequence number in the session. The entry ignores a load hint, a target state or a version from a
    /// report with a lower number than the one it has.
    pub seq: u64,
    /// Items, to be applied in order; empty if the report only renews the lease.
    pub items: Vec<AgentItem>,
}

impl Report {
    /// Whether the report contains results.
    #[must_use]
    pub fn has_results(&self) -> bool {
        let is_result_list = |item: &AgentItem| matches!(item, AgentItem::Results(_));
        self.items.iter().any(is_result_list)
    }
}

/// Item of a [`Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentItem {
    /// First item of a session: all tasks of the entry that the agent holds.
    Held(HeldTasks),
    /// The evacuated failure domains that the agent knows, if the entry knows others.
    Evacuations(Evacuations),
    /// New state of the target.
    Target(TargetState),
    /// Load of the target, and the number of tasks that the entry may place there.
    Load(LoadHint),
    /// Crashes of the target that were not acknowledged in this session, before the results of the runs that they
    /// ended. The entry counts each of them once.
    Crashes(Vec<TargetCrash>),
    /// Tasks that were given up, before those that the agent returns for this reason.
    GivenUp(Vec<GivenUpTask>),
    /// Results of tasks that started and have ended.
    Results(Vec<TaskResult>),
    /// Tasks that did not start and never will.
    NotRun(Vec<NotRun>),
    /// Configuration version that the agent holds, and whether the entry is to send it new versions in
    /// this session.
    Version(ConfigVersion, bool),
    /// The configuration that the agent holds.
    Config(Box<RawValue>),
}

/// Tasks of one entry incarnation that an agent holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTasks {
    /// Queued, running and finished tasks. A task that is not listed will never start.
    pub tasks: Vec<TaskRef>,
    /// Whether the agent may have dropped records of started tasks; if so, a task that is not listed may
    /// have run.
    #[serde(rename = "forgotten")]
    pub may_lack_records: bool,
}

/// State of the target of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target accepts tasks.
    Live(Offer),
    /// The target or its agent is shutting down and accepts no new tasks.
    Leaving,
    /// No target is announced at the agent.
    Absent,
}

/// Load of a target as measured by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Number of tasks that the entry may have placed at the agent at once.
    pub window: u32,
    /// Fraction of the target that running and queued tasks of all entries take, in thousandths; may
    /// exceed 1000.
    #[serde(default)]
    pub load_permille: u32,
    /// Ratio of the run time on the target to the expected run time, in thousandths, extrapolated from the
    /// progress of the current runs; zero if unknown.
    #[serde(default, rename = "stretch_permille")]
    pub slowdown_permille: u32,
    /// Whether the slowdown is relative to the typical run times of the kinds of work. An agent of an earlier
    /// build compares with the declared ones.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_typical_known: bool,
}

/// A task that has not started and never will in this attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Task and attempt that did not run.
    pub task: TaskRef,
    /// Why the task did not start.
    pub reason: NotRunReason,
}

/// Why a task did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The entry withdrew the task.
    #[display("withdrawn")]
    Withdrawn,
    /// The time within which the task had to start has passed.
    #[display("expired")]
    Expired,
    /// The target or the agent is shutting down, or no target is announced.
    #[display("leaving")]
    Leaving,
    /// The target refused the connection.
    #[display("connection refused")]
    ConnectionRefused,
    /// The target had no free slot or too few resources, and the task was not to be queued
    /// ([`IfFull::HandBack`](super::IfFull::HandBack)).
    #[display("no free slot")]
    Busy,
    /// The agent's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The target does not offer the service, or does not accept the task.
    #[display("service not offered")]
    NotOffered,
    /// An entry has given the task up.
    #[display("given up")]
    GivenUp,
}

/// Reply to a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Tasks from the list of held tasks that the entry no longer tracks; the agent drops those that are
    /// still queued.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drop: Vec<TaskRef>,
    /// Number of messages that the entry has sent in the session; present if the report contained a state
    /// of the target, and beside `evacuations_age_ms`. The reply may arrive before those messages, so an agent that
    /// shuts down must read all of them first: they may place tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_messages: Option<u64>,
    /// Age of the entry's set of evacuated domains: every request that the table service had confirmed this long ago
    /// is in it, and in the messages that the entry had sent by then. Present when the entry has read the table
    /// service since it last told this; an entry that can't read it tells nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations_age_ms: Option<Millis>,
    /// Shortest interval between reports that are sent only for a load hint; present when it has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint_ms: Option<Millis>,
    /// Typical run times of kinds of work that have changed since they were last sent in the session.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub typical: Vec<TypicalRuns>,
}

/// Why a report was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum ReportError {
    /// The session has ended; the agent must attach again.
    #[snafu(display("session {session} is over: attach anew"))]
    SessionOver {
        /// Session to which the report belongs.
        session: SessionNumber,
    },
}
