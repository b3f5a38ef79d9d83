//! Parts of an entry that live as long as the process.

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
pub(crate) use core::MessageSink;
pub(crate) use error::ListenSnafu;
pub(crate) use error::RegisterMethodSnafu;
pub(crate) use gate::Lifecycle;
pub(crate) use gate::Phase;
