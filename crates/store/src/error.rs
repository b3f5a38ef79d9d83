//! Errors of calls to the platform.

use std::net::SocketAddr;

use dfs_ids::Millis;
use snafu::Snafu;

use crate::Revision;
use crate::RowKey;

/// Error of a call to the platform. The variants show whether the service may have acted on it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Address of the service.
        address: SocketAddr,
        /// Error of the connection attempt.
        message: String,
    },
    /// The reply did not arrive in time.
    #[snafu(display("no reply from {address} within {timeout_ms}"))]
    Timeout {
        /// Address of the service.
        address: SocketAddr,
        /// Time that was waited for the reply.
        timeout_ms: Millis,
    },
    /// The connection was lost before the reply was complete.
    #[snafu(display("the connection to {address} broke: {message}"))]
    ConnectionLost {
        /// Address of the service.
        address: SocketAddr,
        /// Error of the HTTP client.
        message: String,
    },
    /// The service rejected the request without acting on it.
    #[snafu(display("{address} rejected the request with status {status}"))]
    Rejected {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status of the rejection, normally 4xx.
        status: u16,
    },
    /// The service no longer has all changes after a revision, so the rows must be read in full.
    #[snafu(display("{address} no longer has the changes after revision {after}"))]
    HistoryLost {
        /// Address of the service.
        address: SocketAddr,
        /// Revision from which changes were to be read.
        after: Revision,
    },
    /// The service reported a failure; it may have acted on the request before.
    #[snafu(display("{address} failed with status {status}"))]
    Failed {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status that means neither success nor rejection.
        status: u16,
    },
    /// A request could not be built, or a reply or row does not have the expected form.
    #[snafu(display("malformed {what}: {message}"))]
    Malformed {
        /// What was encoded or decoded, such as `reply` or the key of a row.
        what: String,
        /// Error of the encoder or decoder, or the mismatch that was found.
        message: String,
    },
}

impl StoreError {
    /// Whether the service certainly did not act on the request and never will.
    #[must_use]
    pub const fn is_certainly_not_applied(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Rejected { .. } | Self::HistoryLost { .. } => true,
            Self::Timeout { .. }
            | Self::ConnectionLost { .. }
            | Self::Failed { .. }
            | Self::Malformed { .. } => false,
        }
    }
}

/// Error of a commit. The variants show whether the writes may have been applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum CommitError {
    /// A condition did not hold; nothing was written.
    #[snafu(display("conflict on {}", join_keys(keys)))]
    Conflict {
        /// Rows whose condition did not hold; empty if the service does not say.
        keys: Vec<RowKey>,
    },
    /// The writes were certainly not applied and never will be.
    #[snafu(display("not written: {source}"))]
    NotApplied {
        /// Error of the last call.
        source: StoreError,
    },
    /// The writes were applied, were not applied, or may still be applied later.
    #[snafu(display("unknown whether written: {source}"))]
    Unknown {
        /// Error of the last call.
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

fn join_keys(keys: &[RowKey]) -> String {
    let names: Vec<&str> = keys.iter().map(RowKey::as_str).collect();
    names.join(", ")
}
