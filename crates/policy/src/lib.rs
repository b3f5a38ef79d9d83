//! Decision logic of the entry and the agent as state machines: an event and the current time go in,
//! typed actions come out. Nothing here does I/O, spawns tasks or reads a clock.

pub mod agent;
pub mod crashes;
pub mod ejection;
pub mod entry;
pub mod estimate;
mod kinds;
pub mod locality;
pub mod membership;
pub mod order;
pub mod placement;
pub mod reads;
pub mod response;
pub mod retry;
pub mod runs;
pub mod share;
pub mod speed;
pub mod throughput;

use derive_more::Display;
use derive_more::From;

/// Number of a connection, unique within the process that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct ConnectionId(pub u64);
