//! Messages of a session between an entry and an agent, over JSON-RPC.
//!
//! The agent opens a session by subscribing with [`Attach`]. The entry then sends [`EntryMessage`]
//! notifications, numbered without gaps from zero. The agent calls with [`Report`], which the reply [`Ack`]
//! acknowledges.

mod attach;
mod crash;
mod evacuation;
mod placement;
mod report;
mod result;
mod terms;
mod typical;

pub use attach::Attach;
pub use attach::EntryAddress;
pub use attach::EntryItem;
pub use attach::EntryMessage;
pub use attach::SessionParams;
pub use crash::CrashedRun;
pub use crash::GivenUpTask;
pub use crash::TargetCrash;
pub use evacuation::Evacuations;
pub use placement::IfFull;
pub use placement::Origin;
pub use placement::PlacedTask;
pub use placement::Placement;
pub use placement::TaskRef;
pub use report::Ack;
pub use report::AgentItem;
pub use report::HeldTasks;
pub use report::LoadHint;
pub use report::NotRun;
pub use report::NotRunReason;
pub use report::Report;
pub use report::ReportError;
pub use report::TargetState;
pub use result::TaskOutcome;
pub use result::TaskResult;
pub use terms::Terms;
pub use typical::TypicalRuns;
pub use typical::WorkKind;

/// JSON-RPC method of the subscription that opens a session.
pub const ATTACH_METHOD: &str = "attach";
/// JSON-RPC method that ends the subscription.
pub const DETACH_METHOD: &str = "detach";
/// JSON-RPC method of the notifications in a session.
pub const SESSION_NOTIFICATION: &str = "session";
/// JSON-RPC method that delivers a report.
pub const REPORT_METHOD: &str = "report";
/// JSON-RPC error code for a report whose session has ended.
pub const SESSION_OVER_CODE: i32 = -32_001;
/// JSON-RPC error code for a wrong session secret.
pub const BAD_SECRET_CODE: i32 = -32_002;
