//! Settings of an agent.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::LogSettings;
use crate::StoreSettings;

/// Settings file of `dragonflyshedd agent`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the process.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Address on which its target announces itself.
    pub listen_address: SocketAddr,
    /// Session addresses to dial first: the balancer's, or some entries'.
    pub entry_addresses: Vec<SocketAddr>,
    /// The platform, whose presence rows name the entries; absent: `entry_addresses` name some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<StoreSettings>,
    /// Secret that all processes share; at least 16 bytes.
    pub session_secret: String,
    /// Most entries to keep a session with.
    #[serde(default = "default_max_sessions")]
    pub max_sessions: u32,
    /// Shortest wait before an entry is dialled again; it doubles up to `redial_max_ms`.
    #[serde(default = "default_redial_ms")]
    pub redial_ms: Millis,
    /// Longest wait before an entry is dialled again.
    #[serde(default = "default_redial_max_ms")]
    pub redial_max_ms: Millis,
    /// Longest wait for a connection to the target.
    #[serde(default = "default_connect_timeout_ms")]
    pub target_connect_timeout_ms: Millis,
    /// Longest run of one task; then its outcome is unknown.
    #[serde(default = "default_run_timeout_ms")]
    pub target_run_timeout_ms: Millis,
    /// Largest answer of a target.
    #[serde(default = "default_max_answer_bytes")]
    pub max_answer_bytes: u32,
    /// Largest message between processes.
    #[serde(default = "default_max_message_bytes")]
    pub max_message_bytes: u32,
    /// Time for which results are kept for an entry whose lease has lapsed.
    #[serde(default = "default_keep_ms")]
    pub keep_results_ms: Millis,
    /// Longest planned stop.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: Millis,
    /// Logs and metrics.
    #[serde(default)]
    pub log: LogSettings,
}

impl AgentSettings {
    /// The defaults for an agent.
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
