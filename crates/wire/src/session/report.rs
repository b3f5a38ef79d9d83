//! Messages from agent to entry and their acknowledgement.

use derive_more::Display;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::SessionNumber;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use snafu::Snafu;

use super::TaskRef;
use super::TaskResult;
use crate::target::Offer;

/// Parameters of a report call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Session of the report.
    pub session: SessionNumber,
    /// Position in the session; an older load hint does not replace a newer one.
    pub seq: u64,
    /// The content; empty for a bare renewal.
    pub items: Vec<AgentItem>,
}

impl Report {
    /// Whether the report brings results.
    #[must_use]
    pub fn has_results(&self) -> bool {
        let is_results = |item: &AgentItem| matches!(item, AgentItem::Results(_));
        self.items.iter().any(is_results)
    }
}

/// One part of a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentItem {
    /// First item of a session: all tasks of the entry that the agent knows.
    Held(HeldTasks),
    /// The state of the target has changed.
    Target(TargetState),
    /// Load of the target and the entry's window.
    Load(LoadHint),
    /// Tasks that started and have ended.
    Results(Vec<TaskResult>),
    /// Tasks that did not start and never will.
    NotRun(Vec<NotRun>),
    /// Version that the agent holds, and whether this session shall bring it new ones.
    Version(ConfigVersion, bool),
    /// The configuration that the agent holds.
    Config(Box<RawValue>),
}

/// Tasks of one entry incarnation that an agent knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTasks {
    /// Queued, running and finished tasks. A task that is not listed never starts.
    pub tasks: Vec<TaskRef>,
    /// Whether the agent has dropped records of started tasks; then a task that is not listed may
    /// have run.
    pub forgotten: bool,
}

/// What an agent says of its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target takes tasks.
    Live(Offer),
    /// The target or its agent takes no new tasks.
    Leaving,
    /// No target is announced.
    Absent,
}

/// Load of a target as one agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Tasks that the entry may have open at the agent.
    pub window: u32,
    /// Parts of the target that running and queued tasks take, of all entries, in thousandths.
    #[serde(default)]
    pub load_permille: u32,
    /// Run time on the target over the expected one, by how far the runs have come, in thousandths;
    /// zero: not known.
    #[serde(default)]
    pub stretch_permille: u32,
}

/// A task that did not start and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The task.
    pub task: TaskRef,
    /// Why it did not start.
    pub reason: NotRunReason,
}

/// Why a task did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The entry withdrew it.
    #[display("withdrawn")]
    Withdrawn,
    /// Its time to start has passed.
    #[display("expired")]
    Expired,
    /// The target or the agent is leaving.
    #[display("leaving")]
    Leaving,
    /// The target refused the connection.
    #[display("connection refused")]
    ConnectionRefused,
    /// It found no free slot and was not to be queued.
    #[display("no free slot")]
    Busy,
    /// The agent's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The target does not offer the service.
    #[display("service not offered")]
    NotOffered,
}

/// Reply to a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Held tasks that the entry no longer wants; the agent drops those that are queued.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drop: Vec<TaskRef>,
    /// Messages that the entry had sent in the session, told when the report brought a state of
    /// the target. A reply may overtake them; an agent that stops reads them all first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_messages: Option<u64>,
    /// Shortest time between two load hints that ride on nothing, told when it has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint_ms: Option<Millis>,
}

/// Why a report was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum ReportError {
    /// The session is over; the agent attaches anew.
    #[snafu(display("session {session} is over: attach anew"))]
    SessionOver {
        /// The session of the report.
        session: SessionNumber,
    },
}
