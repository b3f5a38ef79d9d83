//! What lives as long as a version of the configuration: adopting, polling and applying it.

mod apply;
mod follow;
mod holder;
mod link;
mod poll;

pub(crate) use apply::apply;
pub(crate) use follow::follow;
pub(crate) use holder::Holder;
pub(crate) use poll::poll;
