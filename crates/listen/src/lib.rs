//! Listeners for HTTP whose clients are bounded in connections, time and memory.
//!
//! All listeners of a process share a [`RequestBudget`], which counts the bytes of requests that have arrived and are
//! not answered yet.

mod account;
mod body;
mod budget;
mod peers;
mod serve;
mod socket;
mod stream;

pub use account::Account;
pub use account::HeldBytes;
pub use body::BodyError;
pub use body::read_body;
pub use budget::BudgetSpent;
pub use budget::RequestBudget;
pub use peers::Peer;
pub use peers::Peers;
pub use serve::Limits;
pub use serve::Overflow;
pub use serve::accept;
pub use serve::serve;
pub use serve::serve_metrics;
pub use socket::bind;
pub use stream::GuardedStream;
pub use stream::StreamLimits;
