//! All decisions, without I/O, tasks or clocks: an event goes in, typed actions come out.

pub mod agent;
pub mod ejection;
pub mod entry;
pub mod membership;
pub mod order;
pub mod placement;
pub mod retry;
pub mod runs;
pub mod share;
pub mod speed;
pub mod throughput;

use derive_more::Display;
use derive_more::From;

/// A connection as numbered by the process that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct ConnectionId(pub u64);
