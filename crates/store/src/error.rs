//! Failures of the platform.

use std::net::SocketAddr;

use dfs_ids::Millis;
use snafu::Snafu;

use crate::RowKey;

/// Why a call to the platform gave no usable reply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Address that was dialled.
        address: SocketAddr,
        /// What the operating system said.
        message: String,
    },
    /// The reply did not come in time.
    #[snafu(display("no reply from {address} within {timeout_ms}"))]
    Timeout {
        /// Address of the service.
        address: SocketAddr,
        /// The time that was waited.
        timeout_ms: Millis,
    },
    /// The connection broke before the reply was whole.
    #[snafu(display("the connection to {address} broke: {message}"))]
    ConnectionLost {
        /// Address of the service.
        address: SocketAddr,
        /// What the client library said.
        message: String,
    },
    /// The service rejected the request without acting on it.
    #[snafu(display("{address} rejected the request with status {status}"))]
    Rejected {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The service failed, and may have acted on the request before.
    #[snafu(display("{address} failed with status {status}"))]
    Failed {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The reply or a row does not have the expected form.
    #[snafu(display("malformed {what}: {message}"))]
    Malformed {
        /// What was read.
        what: String,
        /// What is wrong with it.
        message: String,
    },
}

impl StoreError {
    /// Whether it is certain that the service did not act on the request.
    #[must_use]
    pub const fn is_certainly_not_applied(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Rejected { .. } => true,
            Self::Timeout { .. }
            | Self::ConnectionLost { .. }
            | Self::Failed { .. }
            | Self::Malformed { .. } => false,
        }
    }
}

/// Why a commit was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("conflict on {}", join(keys)))]
    Conflict {
        /// Rows whose condition did not hold; empty if the service does not say.
        keys: Vec<RowKey>,
    },
    /// Certainly nothing was written.
    #[snafu(display("not written: {source}"))]
    NotApplied {
        /// What happened.
        source: StoreError,
    },
    /// Written, not written, or still to be written.
    #[snafu(display("unknown whether written: {source}"))]
    Unknown {
        /// What happened.
        source: StoreError,
    },
}

impl From<StoreError> for CommitError {
    fn from(source: StoreError) -> Self {
        if source.is_certainly_not_applied() {
            Self::NotApplied { source }
        } else {
            Self::Unknown { source }
        }
    }
}

fn join(keys: &[RowKey]) -> String {
    let names: Vec<&str> = keys.iter().map(RowKey::as_str).collect();
    names.join(", ")
}
