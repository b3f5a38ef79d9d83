//! What lives as long as a version of the configuration: adopting, polling and applying it.

mod apply;
mod holder;
mod poll;

pub(crate) use apply::apply;
pub(crate) use holder::Holder;
pub(crate) use poll::poll;
