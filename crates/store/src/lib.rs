//! Clients of the platform's table service and object store, and the data kept in them: the
//! configuration, claims of request keys, presence rows, and what agents know of their targets.
//!
//! The platform's protocol is not published, so everything else goes through the traits
//! [`TableService`] and [`ObjectStore`]; [`HttpTable`] and [`HttpObjects`] implement them over
//! HTTP.

mod budget;
mod claim;
mod config;
mod error;
mod http;
mod object;
mod presence;
mod table;
mod target;

pub use budget::WriteBudget;
pub use claim::ClaimOutcome;
pub use claim::ClaimRow;
pub use claim::ClaimService;
pub use claim::ClaimSettings;
pub use claim::Claimer;
pub use claim::UnavailableReason;
pub use config::ApplyError;
pub use config::ConfigChange;
pub use config::ConfigHead;
pub use config::ConfigReadError;
pub use config::ConfigStore;
pub use dfs_ids::Revision;
pub use error::CommitError;
pub use error::StoreError;
pub use http::HttpObjects;
pub use http::HttpTable;
pub use http::protocol;
pub use object::ObjectKey;
pub use object::ObjectStore;
pub use presence::Presence;
pub use presence::PresenceRow;
pub use presence::PresenceView;
pub use table::Condition;
pub use table::ResultFuture;
pub use table::Row;
pub use table::RowChange;
pub use table::RowKey;
pub use table::RowWrite;
pub use table::TableService;
pub use target::TargetRow;
pub use target::TargetRows;
