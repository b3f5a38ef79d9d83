//! Settings files of `entry` and `agent`, and their validation.

mod agent;
mod agent_check;
mod common;
mod entry;
mod entry_check;
mod error;
mod log;
mod memory;
mod read;
mod store;

pub use agent::AgentLimits;
pub use agent::AgentSettings;
pub use entry::EntryLimits;
pub use entry::EntrySettings;
pub use entry::LeaseSettings;
pub use error::SettingsError;
pub use log::LogLevel;
pub use log::LogSettings;
pub use memory::MemoryShares;
pub use store::StoreSettings;
