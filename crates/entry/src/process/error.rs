//! Why an entry could not start.

use std::net::SocketAddr;

use dfs_log::LogError;
use snafu::Snafu;

/// Why an entry could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address}: choose a free address of this instance"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// A method of the session server could not be registered.
    #[snafu(display("the session server refuses a method name"))]
    Methods {
        /// What the library says.
        source: jsonrpsee::core::RegisterMethodError,
    },
    /// Logs or metrics could not be set up.
    #[snafu(transparent)]
    Log {
        /// What failed.
        source: LogError,
    },
}
