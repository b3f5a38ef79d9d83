//! What travels between processes, in the order of its arrival.

use std::sync::Arc;

use dfs_ids::Incarnation;
use dfs_policy::ConnectionId;
use dfs_policy::agent::RunEnd;
use dfs_wire::session::Ack;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TaskRef;
use dfs_wire::session::ToAgent;
use serde_json::value::RawValue;

/// One thing on its way to one process.
#[derive(Debug, Clone)]
pub enum Item {
    Submit(usize),
    Cancel(usize),
    Attach(ConnectionId),
    Report(ConnectionId, Report),
    LostAtEntry(ConnectionId),
    Message(ConnectionId, ToAgent),
    Reply(ConnectionId, u64, Result<Ack, ReportError>),
    LostAtAgent(ConnectionId),
    Start {
        agent: usize,
        life: Incarnation,
        task: TaskRef,
        body: Arc<RawValue>,
    },
    Ended {
        agent: usize,
        life: Incarnation,
        task: TaskRef,
        end: RunEnd,
    },
}

/// Direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    ToEntry,
    ToAgent,
    ToTarget,
    FromTarget,
}

/// A connection as both of its ends see it.
#[derive(Debug)]
pub struct Connection {
    pub entry: usize,
    pub entry_life: Incarnation,
    pub agent: usize,
    pub agent_life: Incarnation,
    pub is_open_at_entry: bool,
    pub is_open_at_agent: bool,
    /// Whether the agent has seen the end; no message of the connection is read after it.
    pub is_lost_at_agent: bool,
    /// When the oldest call without a reply was made.
    pub waiting: std::collections::BTreeMap<u64, u64>,
}

impl Item {
    pub fn connection(&self) -> Option<ConnectionId> {
        match self {
            Self::Attach(c)
            | Self::Report(c, _)
            | Self::LostAtEntry(c)
            | Self::Message(c, _)
            | Self::Reply(c, ..)
            | Self::LostAtAgent(c) => Some(*c),
            _ => None,
        }
    }

    pub fn goes_to_entry(&self) -> bool {
        matches!(
            self,
            Self::Attach(_) | Self::Report(..) | Self::LostAtEntry(_)
        )
    }

    /// Whether a faulty network may lose, double or reorder it.
    pub fn is_data(&self) -> bool {
        matches!(self, Self::Report(..) | Self::Message(..) | Self::Reply(..))
    }
}
