//! What lives as long as the connection to an entry.

mod dial;

pub(crate) use dial::Dial;
pub(crate) use dial::keep_session;
