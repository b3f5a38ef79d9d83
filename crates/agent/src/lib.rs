//! The agent process: runs the tasks of entries on the target beside it.

mod connection;
mod process;
mod request;

pub use process::Agent;
pub use process::StartError;
pub use process::StopKind;
