//! Errors of starting an entry.
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
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A method of the session server could not be registered.
    #[snafu(display("cannot register an RPC method of the session server"))]
    RegisterMethod {
        /// Error of the RPC library.
        source: jsonrpsee::core::RegisterMethodError,
    },
    /// The thread that reads the configuration could not be started.
    #[snafu(display(
        "cannot start the thread that reads the configuration: raise the limits of threads and descriptors"
    ))]
    ConfigThread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Logs or metrics could not be set up.
    #[snafu(transparent)]
    Log {
        /// Error of the logging setup.
        source: LogError,
    },
}
