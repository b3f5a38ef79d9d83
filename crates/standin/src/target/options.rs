//! Options of a target stand-in.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::target::Offer;

use crate::control;

/// Addresses, lease and offer of a target stand-in.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Address on which the target accepts tasks.
    pub listen: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Address in the announcements; if absent, the address bound for `listen`.
    pub advertised: Option<SocketAddr>,
    /// Address of the agent; if absent, the target sends no announcements.
    pub agent: Option<SocketAddr>,
    /// Lease duration of an announcement; three heartbeats are sent per lease.
    pub lease_ms: Millis,
    /// Services and capacity that the target announces.
    pub offer: Offer,
}

impl TargetOptions {
    /// Options with free ports on the loopback interface and a lease of 3 s.
    #[must_use]
    pub const fn new(agent: Option<SocketAddr>, offer: Offer) -> Self {
        Self {
            listen: control::loopback_any_port(),
            control: control::loopback_any_port(),
            advertised: None,
            agent,
            lease_ms: Millis::new(3_000),
            offer,
        }
    }
}
