//! 5xx: configuration and store.

use derive_more::Display;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use dfs_ids::Revision;

use super::DomainList;
use super::ErrorText;
use super::catalogue::events;

/// Source of a version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConfigSource {
    /// The table service.
    #[display("store")]
    Store,
    /// Another process, over a session.
    #[display("session")]
    Session,
    /// An operator's change that this process committed.
    #[display("apply")]
    Apply,
}

events! {
    /// Events of the configuration and the store.
    ConfigEvent {
        /// The process has activated a higher version of the configuration.
        501 Info "version_adopted" Adopted {
            /// The version.
            version: ConfigVersion,
            /// Failure domain of the process.
            domain: FailureDomain,
            /// Source of the version.
            source: ConfigSource,
        }
        /// An operator's change was committed.
        502 Info "apply_accepted" Accepted {
            /// The operator, as named in the inventory.
            operator: String,
            /// The version that the change created.
            version: ConfigVersion,
            /// Identifier of the change.
            change: ChangeId,
        }
        /// An operator's change was based on a version that is no longer the head.
        503 Warn "apply_conflict" Conflict {
            /// The operator, as named in the inventory.
            operator: String,
            /// Identifier of the change.
            change: ChangeId,
            /// Version on which the change was based.
            base: ConfigVersion,
            /// Head version, the latest in the store.
            head: ConfigVersion,
        }
        /// An operator's change failed validation; nothing was written.
        504 Warn "apply_invalid" Invalid {
            /// The operator, as named in the inventory.
            operator: String,
            /// Path of each invalid value, the value and the allowed values.
            error: ErrorText,
        }
        /// The table service does not respond; the process continues with its active version.
        505 Error "store_unreachable" StoreUnreachable {
            /// Time since its last response.
            silent_ms: Millis,
            /// Active version, if there is one.
            version: Option<ConfigVersion>,
            /// How much later than due this process sent the latest read.
            late_ms: Millis,
            /// Error of the failed request.
            error: ErrorText,
        }
        /// The table service responds again.
        506 Info "store_reachable" StoreReachable {
            /// Time without a response.
            outage_ms: Millis,
            /// Reads that failed or were overdue meanwhile.
            failed_reads: u64,
            /// Time that the read with the response took.
            read_ms: Millis,
            /// How much later than due this process sent the latest read.
            late_ms: Millis,
        }
        /// An entry that had no configuration received one from an agent.
        507 Info "config_from_agent" FromAgent {
            /// The version.
            version: ConfigVersion,
        }
        /// A version in the store can't be decoded; the process continues with its active version.
        508 Error "config_unreadable" Unreadable {
            /// Revision of the row in the store.
            revision: u64,
            /// Decoding error.
            error: ErrorText,
        }
        /// A row of the store can't be read or can't be of the process that it names; it is ignored.
        509 Warn "row_unreadable" RowUnreadable {
            /// The row, and what is wrong with it.
            error: ErrorText,
        }
        /// The set of evacuated failure domains has changed.
        510 Info "evacuations_changed" EvacuationsChanged {
            /// The evacuated domains; empty if there are none.
            domains: DomainList,
            /// Revision of the store as of which the set is complete.
            revision: Revision,
            /// Source of the set.
            source: ConfigSource,
        }
        /// No entry has confirmed the set of evacuated failure domains for too long; the agent reads the store itself.
        511 Info "evacuations_unconfirmed" EvacuationsUnconfirmed {
            /// Age of the set, if it was ever confirmed.
            age_ms: Option<Millis>,
        }
        /// An entry confirms the set of evacuated failure domains again.
        512 Info "evacuations_confirmed" EvacuationsConfirmed {
            /// Time since the agent began to read the store.
            unconfirmed_ms: Millis,
            /// Reads of the agent in this time.
            reads: u64,
            /// Reads that the store has answered.
            answered: u64,
        }
        /// What the process has read and passed on of the configuration in about a second in which there was a new version.
        513 Info "config_traffic" Traffic {
            /// Active version.
            version: ConfigVersion,
            /// Reads of the store that were answered.
            reads: u64,
            /// Bytes of these answers.
            read_bytes: u64,
            /// Longest time until one of them.
            read_ms: Millis,
            /// Versions in these answers.
            read_versions: u64,
            /// Updates sent to agents.
            updates: u64,
            /// Those of them that were the whole configuration.
            full_updates: u64,
            /// Bytes of all updates.
            update_bytes: u64,
            /// Largest number of messages that waited for one agent when an update was sent to it.
            queued_messages: u64,
        }
    }
}
