//! Messages between callers, entries, agents, targets and operators.

pub mod api;
pub mod session;
pub mod target;
