//! Failures to read or replace the configuration.

use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use snafu::Snafu;

use crate::ObjectKey;
use crate::StoreError;

/// Why a version could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigReadError {
    /// The platform gave no usable reply.
    #[snafu(transparent)]
    Store {
        /// What happened.
        source: StoreError,
    },
    /// No row has this version.
    #[snafu(display("configuration version {version} does not exist"))]
    VersionNotFound {
        /// The version.
        version: ConfigVersion,
    },
    /// The body of the version is missing.
    #[snafu(display("object {key} of configuration version {version} does not exist"))]
    ObjectNotFound {
        /// The version.
        version: ConfigVersion,
        /// Where its body should be.
        key: ObjectKey,
    },
    /// The body of the version does not match its digest.
    #[snafu(display("object {key} of configuration version {version} is damaged"))]
    Corrupt {
        /// The version.
        version: ConfigVersion,
        /// Where its body lies.
        key: ObjectKey,
    },
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// Another change is in force instead; this one never will be.
    #[snafu(display(
        "based on version {base}, but version {winner} of change {winner_change} is in force: \
         apply the change to that version"
    ))]
    Conflict {
        /// Version on which the change was based.
        base: ConfigVersion,
        /// Version in force.
        winner: ConfigVersion,
        /// Change that made it.
        winner_change: ChangeId,
    },
    /// The configuration does not carry the version after its base.
    #[snafu(display("the configuration has version {found}, but follows version {base}"))]
    WrongVersion {
        /// Version on which the change was based.
        base: ConfigVersion,
        /// Version of the configuration.
        found: ConfigVersion,
    },
    /// The base does not exist, because no configuration was ever accepted.
    #[snafu(display("based on version {base}, but there is no configuration yet: use base 0"))]
    BaseNotFound {
        /// Version on which the change was based.
        base: ConfigVersion,
    },
    /// The change id belongs to another change that was accepted; this one never will be.
    #[snafu(display(
        "change {change} was accepted as version {version} with another content or base: \
         use a new change id"
    ))]
    ChangeReused {
        /// The change id.
        change: ChangeId,
        /// Version that the earlier change became.
        version: ConfigVersion,
    },
    /// The change was certainly not accepted.
    #[snafu(display("not accepted: {source}; try again"))]
    NotApplied {
        /// What happened.
        source: StoreError,
    },
    /// The change may have been accepted.
    #[snafu(display(
        "unknown whether change {change} was accepted: {source}; repeat it with the same change id"
    ))]
    Unknown {
        /// The change.
        change: ChangeId,
        /// What happened.
        source: StoreError,
    },
}
