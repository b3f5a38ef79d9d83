//! Errors of reading and replacing the configuration.

use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use snafu::Snafu;

use crate::ObjectKey;
use crate::StoreError;

/// Error of reading a version.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigReadError {
    /// A read failed, or what was read is malformed.
    #[snafu(transparent)]
    Store {
        /// Error of the store.
        source: StoreError,
    },
    /// There is no row for this version.
    #[snafu(display("configuration version {version} does not exist"))]
    VersionNotFound {
        /// Version that was asked for.
        version: ConfigVersion,
    },
    /// The row of the version points to an object that does not exist.
    #[snafu(display("object {key} of configuration version {version} does not exist"))]
    ObjectNotFound {
        /// Version that was asked for.
        version: ConfigVersion,
        /// Key under which its body should be.
        key: ObjectKey,
    },
    /// The content of the object does not match the digest that is its key.
    #[snafu(display("object {key} of configuration version {version} is damaged"))]
    Corrupt {
        /// Version that was asked for.
        version: ConfigVersion,
        /// Key of the object.
        key: ObjectKey,
    },
}

/// Error of applying a change. The variants show whether the change may have been accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The active version is no longer the base of the change. The change was not accepted and
    /// never will be.
    #[snafu(display(
        "based on version {base}, but version {winner} of change {winner_change} is in force: \
         apply the change to that version"
    ))]
    Conflict {
        /// Version on which the change was based.
        base: ConfigVersion,
        /// Active version.
        winner: ConfigVersion,
        /// Change that created the active version.
        winner_change: ChangeId,
    },
    /// The version of the configuration is not the one after its base.
    #[snafu(display("the configuration has version {found}, but follows version {base}"))]
    WrongVersion {
        /// Version on which the change was based.
        base: ConfigVersion,
        /// Version that the configuration has.
        found: ConfigVersion,
    },
    /// The base does not exist because no configuration was ever accepted.
    #[snafu(display("based on version {base}, but there is no configuration yet: use base 0"))]
    BaseNotFound {
        /// Version on which the change was based.
        base: ConfigVersion,
    },
    /// The change id belongs to a different change that was accepted. This change was not accepted
    /// and never will be.
    #[snafu(display(
        "change {change} was accepted as version {version} with another content or base: \
         use a new change id"
    ))]
    ChangeReused {
        /// The reused id.
        change: ChangeId,
        /// Version that the earlier change created.
        version: ConfigVersion,
    },
    /// No commit of this call was or ever will be applied. An earlier call with the same id may
    /// have been accepted all the same if this one failed to read the rows.
    #[snafu(display("not accepted: {source}; try again"))]
    NotApplied {
        /// Error of the last call.
        source: StoreError,
    },
    /// The change was accepted, was not accepted, or may still be accepted later. Applying it again
    /// with the same id is safe.
    #[snafu(display(
        "unknown whether change {change} was accepted: {source}; repeat it with the same change id"
    ))]
    Unknown {
        /// Id of the change.
        change: ChangeId,
        /// Error of the last call.
        source: StoreError,
    },
}
