//! Parts of an agent that live as long as the process.

mod core;
mod error;
mod roster;
mod start;
mod version;

pub use error::StartError;
pub use start::Agent;

pub(crate) use core::Command;
pub(crate) use core::CoreHandle;
pub(crate) use roster::DialEvent;
