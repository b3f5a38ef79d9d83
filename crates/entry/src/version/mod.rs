//! Versions of the configuration: holding the active one, reading new ones, and applying changes.

mod apply;
mod follow;
mod holder;
mod link;
mod poll;
mod thread;
mod traffic;

pub(crate) use apply::apply;
pub(crate) use follow::follow_feed;
pub(crate) use holder::ActiveConfig;
pub(crate) use poll::poll_head;
pub(crate) use thread::spawn_on_own_thread;
