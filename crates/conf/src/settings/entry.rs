//! Settings file of an entry and its defaults.

use std::net::SocketAddr;

use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::LogSettings;
use crate::MemoryShares;
use crate::StoreSettings;

/// Contents of the settings file of `dragonflyshedd entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name that identifies the process to agents, and in logs and metrics.
    pub entry: EntryId,
    /// Failure domain of the process, one of those of the inventory.
    pub domain: FailureDomain,
    /// Address on which the entry listens for requests of callers and operators.
    pub listen_address: SocketAddr,
    /// Address on which the entry listens for sessions of agents.
    pub session_address: SocketAddr,
    /// Address at which agents can connect to `session_address`; defaults to that address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// Secret shared by all processes; at least 16 bytes.
    pub session_secret: String,
    /// Table service and object store of the platform.
    pub store: StoreSettings,
    /// Leases and renewals of agent sessions.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Resource limits for callers and agents, and times of a graceful shutdown.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub log: LogSettings,
}

/// Leases and renewals of agent sessions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time without a message after which an agent is removed and the outcome of its tasks is
    /// unknown. For an idle agent it starts after its renewal interval.
    pub lease_ms: Millis,
    /// Renewal interval of an agent that holds tasks; at most a third of `lease_ms`.
    pub busy_renew_ms: Millis,
    /// Renewal interval of an idle session; longer if there are so many sessions that their
    /// renewals would exceed the bandwidth limit.
    pub idle_renew_ms: Millis,
    /// Time without a message after which an agent must send a report before it is given new tasks;
    /// at most `lease_ms`.
    pub fresh_ms: Millis,
    /// Time for which tasks may still be running after their agent was removed. A repeatable task
    /// is retried only after it.
    pub settle_ms: Millis,
    /// Time after the start within which the first configuration and the sessions of agents are
    /// expected. Submissions are queued meanwhile instead of refused.
    pub startup_ms: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: Millis::new(3_000),
            busy_renew_ms: Millis::new(1_000),
            idle_renew_ms: Millis::new(1_000),
            fresh_ms: Millis::new(2_000),
            settle_ms: Millis::new(0),
            startup_ms: Millis::new(250),
        }
    }
}

/// Resource limits for callers and agents, and times of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Memory of the instance, in MiB. The bytes that requests may hold over all connections follow from it.
    pub memory_mb: u32,
    /// Maximum size of a request body; at most `max_message_bytes`.
    pub max_body_bytes: u32,
    /// Maximum size of the head of a request.
    pub max_head_bytes: u32,
    /// Maximum number of header lines of a request.
    pub max_headers: u32,
    /// Timeout for receiving the head of a request, and again for its body.
    pub body_timeout_ms: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout_ms: Millis,
    /// Time after which a connection is closed whose client reads nothing of an answer.
    pub write_timeout_ms: Millis,
    /// Maximum number of open connections of callers.
    pub max_connections: u32,
    /// Maximum number of open sessions of agents.
    pub max_sessions: u32,
    /// Maximum number of messages buffered for one agent; when it is exceeded, the session is
    /// closed.
    pub session_buffer_messages: u32,
    /// Maximum size of a message between processes.
    pub max_message_bytes: u32,
    /// Maximum duration of a graceful shutdown.
    pub drain_ms: Millis,
    /// Time in a graceful shutdown between reporting not ready and refusing new submissions, so
    /// that load balancers can stop sending them; at most `drain_ms`.
    pub unready_ms: Millis,
}

impl EntryLimits {
    /// How the memory of the instance is divided.
    #[must_use]
    pub fn memory_shares(&self) -> MemoryShares {
        MemoryShares::new(self.memory_mb, self.max_connections)
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            memory_mb: 1_024,
            max_body_bytes: 4 << 20,
            max_head_bytes: 16_384,
            max_headers: 64,
            body_timeout_ms: Millis::new(10_000),
            idle_timeout_ms: Millis::new(15_000),
            write_timeout_ms: Millis::new(15_000),
            max_connections: 10_000,
            max_sessions: 4_096,
            session_buffer_messages: 1_024,
            max_message_bytes: 16 << 20,
            drain_ms: Millis::new(60_000),
            unready_ms: Millis::new(2_000),
        }
    }
}
