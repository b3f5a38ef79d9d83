//! Why a command on the configuration failed.

use std::net::SocketAddr;
use std::path::PathBuf;

use dfs_conf::ValidationErrors;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use snafu::Snafu;

use super::document::Document;
use crate::exit::Exit;

/// Failure of a command on the configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigFailure {
    /// The file is not valid.
    #[snafu(display("{}: faults in the {document}:\n{faults}", path.display()))]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        document: Document,
        /// Every fault found.
        faults: ValidationErrors,
    },
    /// The entry found the change not valid.
    #[snafu(display("the entry refused the change:\n{}", faults.join("\n")))]
    InvalidChange {
        /// Every fault found.
        faults: Vec<String>,
    },
    /// Another change came first.
    #[snafu(display(
        "conflict: the change was based on version {base}, but version {winner} by change \
         {winner_change} came first; nothing was applied: compare with `show` and apply again \
         with --base {winner}"
    ))]
    Conflict {
        /// Version on which the change was based.
        base: ConfigVersion,
        /// Version that won.
        winner: ConfigVersion,
        /// Change that won.
        winner_change: ChangeId,
    },
    /// The entry holds no configuration.
    #[snafu(display(
        "entry {entry} holds no configuration: {message}; pass --base 0 to apply the first one"
    ))]
    NoConfig {
        /// The entry.
        entry: SocketAddr,
        /// What it said.
        message: String,
    },
    /// The token is not an operator's.
    #[snafu(display("the token is not an operator's: use one that the inventory lists"))]
    NotOperator,
    /// No try told whether the change was accepted.
    #[snafu(display(
        "change {change} may have been accepted: {reason}; to settle it, apply the same file \
         again with --base {base} --change {change}"
    ))]
    Unsettled {
        /// The change.
        change: ChangeId,
        /// Version on which it is based.
        base: ConfigVersion,
        /// What the last try met.
        reason: String,
    },
    /// The version was not in force everywhere in time.
    #[snafu(display(
        "version {version} is not in force everywhere after {waited}: {}", lagging.join("; ")
    ))]
    NotInForce {
        /// The version.
        version: ConfigVersion,
        /// How long it was waited for.
        waited: Millis,
        /// Entries and failure domains that lag.
        lagging: Vec<String>,
    },
}

impl ConfigFailure {
    /// The exit code that goes with the failure.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::InvalidFile { .. } | Self::InvalidChange { .. } => Exit::ConfigInvalid,
            Self::Conflict { .. } => Exit::ConfigConflict,
            Self::NoConfig { .. } => Exit::TryLater,
            Self::NotOperator => Exit::Denied,
            Self::Unsettled { .. } => Exit::ConfigUnsettled,
            Self::NotInForce { .. } => Exit::WaitTimeout,
        }
    }
}
