//! Settings file of an agent and its defaults.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::LogSettings;
use crate::MemoryShares;
use crate::StoreSettings;

/// Contents of the settings file of `dragonflyshedd agent`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name that identifies the process to entries, and in logs and metrics.
    pub agent: AgentId,
    /// Failure domain of the process, one of those of the inventory.
    pub domain: FailureDomain,
    /// Address on which the agent listens for the announcements of its target.
    pub listen_address: SocketAddr,
    /// Session addresses to connect to at the start: that of a load balancer, or those of some
    /// entries. May be empty if `store` is given.
    pub entry_addresses: Vec<SocketAddr>,
    /// Platform from whose presence rows the agent learns the addresses of entries; optional if
    /// `entry_addresses` is not empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<StoreSettings>,
    /// Secret shared by all processes; at least 16 bytes.
    pub session_secret: String,
    /// Maximum number of entries with which the agent keeps a session.
    #[serde(default = "default_max_sessions")]
    pub max_sessions: u32,
    /// Initial backoff before reconnecting to an entry; it doubles up to `redial_max_ms`.
    #[serde(default = "default_redial_ms")]
    pub redial_ms: Millis,
    /// Maximum backoff before reconnecting to an entry.
    #[serde(default = "default_redial_max_ms")]
    pub redial_max_ms: Millis,
    /// Timeout for connecting to the target.
    #[serde(default = "default_connect_timeout_ms")]
    pub target_connect_timeout_ms: Millis,
    /// Maximum run time of one task, after which its outcome is unknown.
    #[serde(default = "default_run_timeout_ms")]
    pub target_run_timeout_ms: Millis,
    /// Maximum size of an answer of the target.
    #[serde(default = "default_max_answer_bytes")]
    pub max_answer_bytes: u32,
    /// Maximum size of a message between processes.
    #[serde(default = "default_max_message_bytes")]
    pub max_message_bytes: u32,
    /// Time for which results are kept for an entry whose lease has expired.
    #[serde(default = "default_keep_ms")]
    pub keep_results_ms: Millis,
    /// Maximum duration of a graceful shutdown.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: Millis,
    /// Resource limits for what connects to the agent.
    #[serde(default)]
    pub limits: AgentLimits,
    /// Logs and metrics.
    #[serde(default)]
    pub log: LogSettings,
}

/// Resource limits for what connects to the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimits {
    /// Memory of the instance, in MiB. The bytes that requests may hold over all connections follow from it.
    pub memory_mb: u32,
    /// Maximum number of open connections to `listen_address`. The target uses few of them.
    pub max_connections: u32,
}

impl AgentLimits {
    /// How the memory of the instance is divided.
    #[must_use]
    pub fn memory_shares(&self) -> MemoryShares {
        MemoryShares::new(self.memory_mb, self.max_connections)
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            memory_mb: 1_024,
            max_connections: 256,
        }
    }
}

impl AgentSettings {
    /// Settings with the given values and otherwise the defaults, without a store.
    #[must_use]
    pub fn new(
        agent: AgentId,
        domain: FailureDomain,
        listen_address: SocketAddr,
        entry_addresses: Vec<SocketAddr>,
        session_secret: String,
    ) -> Self {
        Self {
            agent,
            domain,
            listen_address,
            entry_addresses,
            store: None,
            session_secret,
            max_sessions: default_max_sessions(),
            redial_ms: default_redial_ms(),
            redial_max_ms: default_redial_max_ms(),
            target_connect_timeout_ms: default_connect_timeout_ms(),
            target_run_timeout_ms: default_run_timeout_ms(),
            max_answer_bytes: default_max_answer_bytes(),
            max_message_bytes: default_max_message_bytes(),
            keep_results_ms: default_keep_ms(),
            drain_ms: default_drain_ms(),
            limits: AgentLimits::default(),
            log: LogSettings::default(),
        }
    }
}

fn default_max_sessions() -> u32 {
    16
}

fn default_redial_ms() -> Millis {
    Millis::new(100)
}

fn default_redial_max_ms() -> Millis {
    Millis::new(2_000)
}

fn default_connect_timeout_ms() -> Millis {
    Millis::new(1_000)
}

fn default_run_timeout_ms() -> Millis {
    Millis::new(600_000)
}

fn default_max_answer_bytes() -> u32 {
    4 << 20
}

fn default_max_message_bytes() -> u32 {
    16 << 20
}

fn default_keep_ms() -> Millis {
    Millis::new(60_000)
}

fn default_drain_ms() -> Millis {
    Millis::new(60_000)
}
