//! What lives as long as a request: tasks on the target, and the target's announcements.

mod announce;
mod run;

pub(crate) use announce::router;
pub(crate) use run::HttpTarget;
pub use run::Start;
