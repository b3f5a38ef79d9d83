//! Errors of `inventory`, `rules` and `config`.

use std::net::SocketAddr;
use std::path::PathBuf;

use dfs_conf::ValidationErrors;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use snafu::Snafu;

use super::document::Document;
use crate::exit::Exit;

/// Failure of `inventory`, `rules` or `config`, unless an entry could not be called at all.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigFailure {
    /// Local validation failed; nothing was sent.
    #[snafu(display("{}: invalid {document}:\n{faults}", path.display()))]
    InvalidFile {
        /// File from the command line, `-` for standard input.
        path: PathBuf,
        /// Kind of document that the file should hold.
        document: Document,
        /// All faults found.
        faults: ValidationErrors,
    },
    /// The entry validated the change and found faults; nothing was applied.
    #[snafu(display("the entry refused the change:\n{}", faults.join("\n")))]
    InvalidChange {
        /// All faults found.
        faults: Vec<String>,
    },
    /// The head version was no longer the base: another change was accepted first.
    #[snafu(display(
        "conflict: the change is based on version {base}, but change {winner_change} was accepted \
         first as version {winner}; nothing was applied: compare with `show` and apply again with \
         --base {winner}"
    ))]
    Conflict {
        /// Version on which the change is based.
        base: ConfigVersion,
        /// Version that the other change created.
        winner: ConfigVersion,
        /// Id of the other change.
        winner_change: ChangeId,
    },
    /// The entry holds no configuration, so there is no version to use as base.
    #[snafu(display(
        "entry {entry} holds no configuration: {message}; pass --base 0 to apply the first one"
    ))]
    NoConfig {
        /// Address of the entry.
        entry: SocketAddr,
        /// Message of its reply.
        message: String,
    },
    /// The entry does not accept the token as an operator's.
    #[snafu(display("not an operator token: use one that the inventory lists under operators"))]
    NotOperator,
    /// No attempt showed whether the change was accepted.
    #[snafu(display(
        "change {change} may have been accepted: {reason}; to find out, apply the same file \
         again with --base {base} --change {change}"
    ))]
    OutcomeUnknown {
        /// Id of the change.
        change: ChangeId,
        /// Version on which it is based.
        base: ConfigVersion,
        /// Why the outcome of the last attempt is unknown.
        reason: String,
    },
    /// `config wait` timed out.
    #[snafu(display(
        "version {version} is not in force everywhere after {waited}: {}", lagging.join("; ")
    ))]
    NotInForce {
        /// Version to wait for.
        version: ConfigVersion,
        /// Time-out that has passed.
        waited: Millis,
        /// Entries and failure domains that are behind, as messages.
        lagging: Vec<String>,
    },
}

impl ConfigFailure {
    /// Exit code that the command ends with.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::InvalidFile { .. } | Self::InvalidChange { .. } => Exit::ConfigInvalid,
            Self::Conflict { .. } => Exit::ConfigConflict,
            Self::NoConfig { .. } => Exit::TryLater,
            Self::NotOperator => Exit::Denied,
            Self::OutcomeUnknown { .. } => Exit::ConfigOutcomeUnknown,
            Self::NotInForce { .. } => Exit::WaitTimeout,
        }
    }
}
