//! What lives as long as the connection of an agent.

mod server;

pub(crate) use server::SessionServer;
