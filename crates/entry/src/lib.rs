//! The entry process: accepts submissions over HTTP, places their tasks on agents and answers
//! callers.

mod connection;
mod edge;
mod process;
mod request;
mod version;

pub use dfs_inbox::ShutdownOutcome;
pub use edge::ConfigChanges;
pub use edge::ConfigFeed;
pub use edge::EntryAdapter;
pub use edge::Ingress;
pub use edge::NoConfig;
pub use process::Entry;
pub use process::StartError;
pub use request::CorrelationIds;
