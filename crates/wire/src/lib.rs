//! Messages exchanged between callers, operators, entries, agents and targets.

pub mod api;
pub mod session;
pub mod target;
