//! What an agent of another host uses in place of the product's own target protocol.

use std::pin::Pin;
use std::sync::Arc;

use axum::Router;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_store::Presence;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;

use crate::process::CoreHandle;
use crate::request::Start;

/// Resolves to the run time in microseconds and the end of a run.
pub type Run = Pin<Box<dyn Future<Output = (u64, RunEnd)> + Send>>;

/// Runs tasks on the target.
pub trait TargetDriver: Send + Sync {
    /// Starts a task; the future ends with the run.
    fn start(&self, start: Start) -> Run;

    /// Stops a run, which then ends soon; a run that has ended stays as it is.
    fn stop(&self, task: &TaskRef);
}

/// Parts of an agent that depend on its host.
pub struct AgentAdapter {
    /// Runs tasks.
    pub driver: Arc<dyn TargetDriver>,
    /// Makes the paths on which the target announces itself.
    pub router: Box<dyn FnOnce(TargetEvents) -> Router + Send>,
    /// Resolves once every run of an earlier life of this agent has ended; no entry is dialled before.
    pub taken_over: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Where entries are found; none: only the settings and other entries name them.
    pub presence: Option<Presence>,
}

/// Passes on what the target says of itself.
#[derive(Clone)]
pub struct TargetEvents {
    pub(crate) core: CoreHandle,
}

impl TargetEvents {
    /// The target announced itself or sent a heartbeat.
    pub fn announced(&self, announcement: Announcement) {
        self.core
            .send_event(AgentEvent::TargetAnnounced(announcement));
    }

    /// How far runs have come, in hundredths of their work.
    pub fn progress(&self, progress: Vec<(TaskRef, u8)>) {
        self.core.send_event(AgentEvent::RunProgress(progress));
    }

    /// The target takes no new tasks; those that run there go on.
    pub fn goodbye(&self) {
        self.core.send_event(AgentEvent::TargetGoodbye);
    }
}
