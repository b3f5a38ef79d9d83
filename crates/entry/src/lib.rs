//! The entry process: takes submissions, places tasks on agents, answers callers.

mod connection;
mod process;
mod request;
mod version;

pub use process::Entry;
pub use process::StartError;
pub use process::StopKind;
