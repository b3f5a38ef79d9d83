//! Errors of starting an agent.
use std::net::SocketAddr;

use snafu::Snafu;

/// Why an agent could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address could not be bound.
    #[snafu(display("cannot listen on {address}: choose a free address of this instance"))]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
