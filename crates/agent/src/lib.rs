//! The agent process: runs tasks that entries place on it on the target of the same instance.

mod connection;
mod edge;
mod fenced;
mod process;
mod request;

pub use dfs_inbox::ShutdownOutcome;
pub use edge::AgentAdapter;
pub use edge::EvacuationReader;
pub use edge::EvacuationReads;
pub use edge::RunFuture;
pub use edge::TargetDriver;
pub use edge::TargetEvents;
pub use fenced::BoxFuture;
pub use fenced::FencedTarget;
pub use fenced::HeartbeatSender;
pub use fenced::TargetClient;
pub use process::Agent;
pub use process::StartError;
pub use request::RunRequest;
