//! Connections of agents and callers.

mod callers;
mod server;

pub(crate) use callers::serve as serve_callers;
pub(crate) use server::SessionServer;
