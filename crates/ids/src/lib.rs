//! Identifiers, integer types and time units shared by all crates.

mod clock;
mod id;
mod number;
mod unit;

pub use clock::Clock;
pub use id::AgentId;
pub use id::ChangeId;
pub use id::EntryId;
pub use id::FailureDomain;
pub use id::GroupId;
pub use id::IdError;
pub use id::JobName;
pub use id::Label;
pub use id::QueueName;
pub use id::RequestKey;
pub use id::ServiceName;
pub use id::SubmissionId;
pub use id::TargetId;
pub use number::Attempt;
pub use number::ConfigVersion;
pub use number::Incarnation;
pub use number::Priority;
pub use number::Revision;
pub use number::SessionNumber;
pub use number::Slots;
pub use number::TakeoverNumber;
pub use number::TaskIndex;
pub use unit::Millis;
pub use unit::Moment;
