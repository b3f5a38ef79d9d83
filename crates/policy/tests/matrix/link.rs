//! Messages and events in flight between processes.

use std::sync::Arc;

use dfs_ids::Incarnation;
use dfs_policy::ConnectionId;
use dfs_policy::agent::RunEnd;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;

/// A message or event in flight to a process. A `usize` is the index of a caller.
#[derive(Debug, Clone)]
pub enum Delivery {
    Submit(usize),
    Cancel(usize),
    Attach(ConnectionId),
    Report(ConnectionId, Report),
    ConnectionLostAtEntry(ConnectionId),
    Message(ConnectionId, EntryMessage),
    /// Reply to the report with this sequence number.
    Reply(ConnectionId, u64, Result<Ack, ReportError>),
    ConnectionLostAtAgent(ConnectionId),
    StartRun {
        agent: usize,
        incarnation: Incarnation,
        task: TaskRef,
        body: Arc<RawValue>,
    },
    RunEnded {
        agent: usize,
        incarnation: Incarnation,
        task: TaskRef,
        end: RunEnd,
    },
}

/// Direction of a link between an agent and an entry or its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    ToEntry,
    ToAgent,
    ToTarget,
    FromTarget,
}

/// A connection as both of its ends see it.
#[derive(Debug)]
pub struct Connection {
    pub entry: usize,
    pub entry_incarnation: Incarnation,
    pub agent: usize,
    pub agent_incarnation: Incarnation,
    pub is_open_at_entry: bool,
    pub is_open_at_agent: bool,
    /// Whether the agent was notified of the loss; it reads no further message of the connection.
    pub has_agent_seen_loss: bool,
    /// Times at which the calls without a reply were made: of reports by sequence number, and of the
    /// attach call by `u64::MAX`.
    pub unanswered_calls: std::collections::BTreeMap<u64, u64>,
}

impl Delivery {
    pub fn connection(&self) -> Option<ConnectionId> {
        match self {
            Self::Attach(c)
            | Self::Report(c, _)
            | Self::ConnectionLostAtEntry(c)
            | Self::Message(c, _)
            | Self::Reply(c, ..)
            | Self::ConnectionLostAtAgent(c) => Some(*c),
            _ => None,
        }
    }

    pub fn goes_to_entry(&self) -> bool {
        matches!(
            self,
            Self::Attach(_) | Self::Report(..) | Self::ConnectionLostAtEntry(_)
        )
    }

    /// Whether faults may drop, duplicate, delay or reorder it.
    pub fn may_be_disturbed(&self) -> bool {
        matches!(self, Self::Report(..) | Self::Message(..) | Self::Reply(..))
    }
}
