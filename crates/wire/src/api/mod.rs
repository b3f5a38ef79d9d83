//! Request and response bodies of the HTTP API for callers and operators.

mod answer;
mod config;
mod status;
mod submit;

pub use answer::Answer;
pub use answer::Failure;
pub use answer::FailureReason;
pub use answer::Outcome;
pub use answer::TaskError;
pub use config::ApplyAnswer;
pub use config::ApplyConfig;
pub use config::ConfigAnswer;
pub use config::ConfigError;
pub use status::DomainStatus;
pub use status::EntryStatus;
pub use status::GroupStatus;
pub use status::TargetStatus;
pub use submit::JobRequest;
pub use submit::SingleRequest;
