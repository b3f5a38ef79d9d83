//! Connections to entries.

mod dial;

pub(crate) use dial::Dial;
pub(crate) use dial::keep_session;
