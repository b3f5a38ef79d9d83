//! HTTP requests to and from the target: runs of tasks, and the target's announcements.

mod announce;
mod run;

pub(crate) use announce::router;
pub(crate) use run::HttpTarget;
pub use run::RunRequest;
