//! What a target stand-in is started with.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::target::Offer;

use crate::control;

/// Addresses and offer of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Address on which it takes tasks.
    pub listen: SocketAddr,
    /// Address for commands.
    pub control: SocketAddr,
    /// Address that it announces; absent: `listen`.
    pub advertised: Option<SocketAddr>,
    /// Its agent; none: it announces itself to nobody.
    pub agent: Option<SocketAddr>,
    /// Lease of its announcements; heartbeats come three times as often.
    pub lease_ms: Millis,
    /// What it offers.
    pub offer: Offer,
}

impl TargetOptions {
    /// Free ports of the loopback interface and a lease of 3 s.
    #[must_use]
    pub const fn new(agent: Option<SocketAddr>, offer: Offer) -> Self {
        Self {
            listen: control::any_port(),
            control: control::any_port(),
            advertised: None,
            agent,
            lease_ms: Millis::new(3_000),
            offer,
        }
    }
}
