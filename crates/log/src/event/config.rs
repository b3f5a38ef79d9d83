//! 5xx: the configuration and the store.

use derive_more::Display;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;

use super::ErrorText;
use super::catalogue::events;

/// Where a version of the configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConfigSource {
    /// The table service.
    #[display("store")]
    Store,
    /// A session with another process.
    #[display("session")]
    Session,
    /// An operator's change accepted by this process.
    #[display("apply")]
    Apply,
}

events! {
    /// The configuration and the store.
    ConfigEvent {
        /// A higher version is in force in this process.
        501 Info "version_adopted" Adopted {
            /// The version.
            version: ConfigVersion,
            /// Failure domain of the process.
            domain: FailureDomain,
            /// Where it came from.
            source: ConfigSource,
        }
        /// An operator's change was committed.
        502 Info "apply_accepted" Accepted {
            /// The operator, as named in the inventory.
            operator: String,
            /// The version that it became.
            version: ConfigVersion,
            /// The change.
            change: ChangeId,
        }
        /// An operator's change was based on a version that is no longer the head.
        503 Warn "apply_conflict" Conflict {
            /// The operator, as named in the inventory.
            operator: String,
            /// The change.
            change: ChangeId,
            /// Version on which it was based.
            base: ConfigVersion,
            /// Version that is the head.
            head: ConfigVersion,
        }
        /// An operator's change failed its checks; nothing was written.
        504 Warn "apply_invalid" Invalid {
            /// The operator, as named in the inventory.
            operator: String,
            /// Path, value and what is allowed.
            error: ErrorText,
        }
        /// The table service does not answer; the process goes on with the version it holds.
        505 Error "store_unreachable" StoreUnreachable {
            /// Time since its last answer.
            silent_ms: Millis,
            /// Version in force, if there is one.
            version: Option<ConfigVersion>,
            /// Why.
            error: ErrorText,
        }
        /// The table service answers again.
        506 Info "store_reachable" StoreReachable {
            /// Time without an answer.
            outage_ms: Millis,
        }
        /// An entry without a version got one from an agent.
        507 Info "config_from_agent" FromAgent {
            /// The version.
            version: ConfigVersion,
        }
        /// A version in the store can't be read; the process goes on with the version it holds.
        508 Error "config_unreadable" Unreadable {
            /// Revision of the row.
            revision: u64,
            /// What is wrong with it.
            error: ErrorText,
        }
    }
}
