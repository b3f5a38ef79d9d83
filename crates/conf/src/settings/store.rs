//! The platform's table service and object store.

use std::net::SocketAddr;

use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

/// How to reach the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub object_address: SocketAddr,
    /// Longest wait for one reply.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: Millis,
    /// Time between two reads of the head version.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: Millis,
    /// Most writes a second that this process makes.
    #[serde(default = "default_writes_per_s")]
    pub max_writes_per_s: u32,
}

impl StoreSettings {
    /// The defaults for a platform at these addresses.
    #[must_use]
    pub fn new(table_address: SocketAddr, object_address: SocketAddr) -> Self {
        Self {
            table_address,
            object_address,
            timeout_ms: default_timeout_ms(),
            poll_ms: default_poll_ms(),
            max_writes_per_s: default_writes_per_s(),
        }
    }
}

fn default_timeout_ms() -> Millis {
    Millis::new(1_000)
}

fn default_poll_ms() -> Millis {
    Millis::new(1_000)
}

fn default_writes_per_s() -> u32 {
    10
}
