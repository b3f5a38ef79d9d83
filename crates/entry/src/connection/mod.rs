//! What lives as long as a connection of an agent or a caller.

mod callers;
mod server;

pub(crate) use callers::serve as serve_callers;
pub(crate) use server::SessionServer;
