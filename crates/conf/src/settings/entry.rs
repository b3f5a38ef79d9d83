//! Settings of an entry.

use std::net::SocketAddr;

use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::LogSettings;
use crate::StoreSettings;

/// Settings file of `dragonflyshedd entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the process.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Address for callers and operators.
    pub listen_address: SocketAddr,
    /// Address for agents.
    pub session_address: SocketAddr,
    /// Address under which agents reach `session_address`; the same if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// Secret that all processes share; at least 16 bytes.
    pub session_secret: String,
    /// The platform.
    pub store: StoreSettings,
    /// Leases of sessions.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Bounds on what callers and agents may use.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub log: LogSettings,
}

/// Leases and renewals of sessions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Silence after which the tasks of an agent are settled as unknown.
    pub lease_ms: Millis,
    /// Longest silence of an agent that holds tasks; at most a third of `lease_ms`.
    pub busy_renew_ms: Millis,
    /// Shortest interval of renewals of an idle session.
    pub idle_renew_ms: Millis,
    /// Silence after which an agent is asked for a report before it gets new work.
    pub fresh_ms: Millis,
    /// Time after the loss of an agent in which its runs may go on; a repeatable task is placed anew
    /// only after it.
    pub settle_ms: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: Millis::new(3_000),
            busy_renew_ms: Millis::new(1_000),
            idle_renew_ms: Millis::new(1_000),
            fresh_ms: Millis::new(2_000),
            settle_ms: Millis::new(0),
        }
    }
}

/// Bounds on what callers and agents may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Largest request body.
    pub max_body_bytes: u32,
    /// Most header lines of a request.
    pub max_headers: u32,
    /// Longest wait for the head of a request and for its body.
    pub body_timeout_ms: Millis,
    /// Most connections of callers.
    pub max_connections: u32,
    /// Most sessions.
    pub max_sessions: u32,
    /// Messages buffered for one agent; a session that lags further is closed.
    pub session_buffer_messages: u32,
    /// Largest message between processes.
    pub max_message_bytes: u32,
    /// Longest planned stop.
    pub drain_ms: Millis,
    /// Time between being reported as not ready and refusing new submissions.
    pub unready_ms: Millis,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_headers: 64,
            body_timeout_ms: Millis::new(10_000),
            max_connections: 10_000,
            max_sessions: 4_096,
            session_buffer_messages: 1_024,
            max_message_bytes: 16 << 20,
            drain_ms: Millis::new(60_000),
            unready_ms: Millis::new(2_000),
        }
    }
}
