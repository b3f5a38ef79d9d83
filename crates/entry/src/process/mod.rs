//! What lives as long as the process.

mod core;
mod error;
mod gate;
mod observe;
mod presence;
mod start;

pub use error::StartError;
pub use start::Entry;

pub(crate) use core::Command;
pub(crate) use core::Core;
pub(crate) use core::CoreHandle;
pub(crate) use core::Sink;
pub(crate) use error::ListenSnafu;
pub(crate) use error::MethodsSnafu;
pub(crate) use gate::Gate;
pub(crate) use gate::Phase;
