//! Settings for the table service and the object store of the platform.

use std::net::SocketAddr;

use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Addresses of the platform and limits on its use by this process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub object_address: SocketAddr,
    /// Timeout for one reply.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: Millis,
    /// Interval at which the latest version of the configuration is polled.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: Millis,
    /// Maximum number of writes a second by this process.
    #[serde(default = "default_writes_per_s")]
    pub max_writes_per_s: u32,
}

impl StoreSettings {
    /// Percentage of `poll_ms` by which each interval is randomly lengthened or shortened, so that entries
    /// do not poll in step.
    pub const POLL_JITTER_PERCENT: u32 = 20;

    /// Longest time from a poll that gets no answer until the next one.
    #[must_use]
    pub fn poll_after_loss_ms(&self) -> Millis {
        let poll_ms = self.poll_ms.get();
        let jitter_ms = poll_ms.saturating_mul(Self::POLL_JITTER_PERCENT.into()) / 100;
        self.timeout_ms + self.poll_ms + Millis::new(jitter_ms)
    }

    /// Settings with the given addresses and otherwise the defaults.
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
