//! Attach request of an agent, and messages from entry to agent.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::SessionNumber;
use dfs_ids::TakeoverNumber;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::Evacuations;
use super::GivenUpTask;
use super::Placement;
use super::TaskRef;

/// Parameters of the subscription with which an agent opens a session.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attach {
    /// Session secret, shared by all entries and agents through their settings.
    pub secret: String,
    /// The agent that attaches.
    pub agent: AgentId,
    /// Incarnation of the agent; another one may be a later or an earlier one.
    pub incarnation: Incarnation,
    /// Failure domain of the agent.
    pub domain: FailureDomain,
    /// Number of the takeover by which the target has proved that the runs of all incarnations with a lower number
    /// have ended. Absent if it has proved nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub takeover: Option<TakeoverNumber>,
}

/// A notification from entry to agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryMessage {
    /// Session to which the message belongs; the agent ignores messages of any other.
    pub session: SessionNumber,
    /// Sequence number in the session, without gaps from zero; on a gap the agent closes the connection.
    pub seq: u64,
    /// Items, to be applied in order.
    pub items: Vec<EntryItem>,
}

impl EntryMessage {
    /// Whether the message places tasks.
    #[must_use]
    pub fn places_tasks(&self) -> bool {
        let is_placement = |item: &EntryItem| matches!(item, EntryItem::Place(_));
        self.items.iter().any(is_placement)
    }
}

/// Item of an [`EntryMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryItem {
    /// First item of a session; ends every earlier session of the agent with this entry incarnation.
    Open(SessionParams),
    /// The evacuated failure domains. Directly after [`Self::Open`] and whenever they change, but not while there are
    /// none and the agent has named none.
    Evacuations(Evacuations),
    /// Places tasks of one submission at the agent.
    Place(Placement),
    /// Withdraws tasks: the agent returns those that have not started, and stops running ones that are
    /// repeatable.
    Withdraw(Vec<TaskRef>),
    /// Tasks that the entry has given up, of jobs that it has; the agent starts them for no entry.
    GivenUp(Vec<GivenUpTask>),
    /// Requests a report without delay.
    Probe,
    /// A new configuration, complete or as a diff from an earlier version.
    Config(Box<RawValue>),
    /// Requests the configuration that the agent holds.
    WantConfig,
    /// Addresses of entries to which the agent may connect.
    Entries(Vec<EntryAddress>),
}

/// Address on which an entry accepts sessions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryId,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Listening address, as `IP:port`.
    pub address: SocketAddr,
}

/// Parameters of a session, set by the entry for its whole duration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionParams {
    /// The entry.
    pub entry: EntryId,
    /// Incarnation of the entry; a new one ends the leases of its earlier incarnations.
    pub incarnation: Incarnation,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Whether the entry has had an earlier session with this incarnation of the agent.
    pub resumed: bool,
    /// Lease: without an acknowledged report for this time, the agent starts no more tasks of the entry.
    pub lease_ms: Millis,
    /// Longest time between two reports of an agent that holds tasks of the entry.
    pub busy_renew_ms: Millis,
    /// Longest time between two reports of an agent that holds none.
    pub idle_renew_ms: Millis,
    /// Configuration version active at the entry; absent until it has loaded one.
    pub version: Option<ConfigVersion>,
}
