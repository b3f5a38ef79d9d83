//! Settings of the processes.

mod agent;
mod entry;
mod log;
mod store;

pub use agent::AgentSettings;
pub use entry::EntryLimits;
pub use entry::EntrySettings;
pub use entry::LeaseSettings;
pub use log::LogLevel;
pub use log::LogSettings;
pub use store::StoreSettings;
