//! Opening a session and messages from entry to agent.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::SessionNumber;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::Placement;
use super::TaskRef;

/// Parameters of the subscription.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attach {
    /// Secret that all processes have in their settings.
    pub secret: String,
    /// The agent.
    pub agent: AgentId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// A notification from entry to agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryMessage {
    /// Session of the message.
    pub session: SessionNumber,
    /// Position in the session, without gaps from zero.
    pub seq: u64,
    /// The content.
    pub items: Vec<EntryItem>,
}

impl EntryMessage {
    /// Whether the message places tasks.
    #[must_use]
    pub fn places_tasks(&self) -> bool {
        let is_place = |item: &EntryItem| matches!(item, EntryItem::Place(_));
        self.items.iter().any(is_place)
    }
}

/// One part of a notification.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryItem {
    /// First item of a session; fences every earlier session of the entry incarnation.
    Open(SessionParams),
    /// Tasks of one submission.
    Place(Placement),
    /// Tasks to hand back if they have not started.
    Withdraw(Vec<TaskRef>),
    /// Asks for a report at once.
    Probe,
    /// A configuration, whole or as a difference.
    Config(Box<RawValue>),
    /// Asks for the configuration that the agent holds.
    WantConfig,
    /// Entries that the agent may dial.
    Entries(Vec<EntryAddress>),
}

/// Where an entry takes sessions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The address, as `IP:port`.
    pub address: SocketAddr,
}

/// Terms of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionParams {
    /// The entry.
    pub entry: EntryId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether the entry had an earlier session with this life of the agent.
    pub resumed: bool,
    /// Time without an acknowledged report after which the agent starts nothing for the entry.
    pub lease_ms: Millis,
    /// Longest silence of an agent that holds tasks of the entry.
    pub busy_renew_ms: Millis,
    /// Longest silence of an agent that holds none.
    pub idle_renew_ms: Millis,
    /// Version in force at the entry.
    pub version: Option<ConfigVersion>,
}
