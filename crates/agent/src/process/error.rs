//! Why an agent could not start.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why an agent could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address could not be bound.
    #[snafu(display("cannot listen on {address}: choose a free address of this instance"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}
