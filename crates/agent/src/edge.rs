//! Interfaces to run an agent on another platform, with that platform's target protocol in place of
//! the built-in one.

use std::pin::Pin;
use std::sync::Arc;

use axum::Router;
use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TakeoverNumber;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::CrashedAttempt;
use dfs_store::Presence;
use dfs_store::ResultFuture;
use dfs_store::StoreError;
use dfs_wire::session::Evacuations;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;

use crate::process::CoreHandle;
use crate::request::RunRequest;

/// Resolves to the run time in microseconds and the outcome of a run.
pub type RunFuture = Pin<Box<dyn Future<Output = (u64, RunEnd)> + Send>>;

/// Resolves to a number that is higher than those of all earlier incarnations, if the target itself
/// has shown that their runs have ended and refuses their orders; to `None` if it has not.
pub type TakeoverFuture = Pin<Box<dyn Future<Output = Option<TakeoverNumber>> + Send>>;

/// Starts and stops runs of tasks on the target.
pub trait TargetDriver: Send + Sync {
    /// Starts a run; the future resolves when it has ended.
    fn start(&self, request: RunRequest) -> RunFuture;

    /// Tells when the entry of an active run was last heard of, the earliest of them; `None` without such runs.
    /// A driver that grants leases limits them by it.
    fn entries_heard(&self, _earliest: Option<Moment>) {}

    /// Tells whether the failure domain of the target is evacuated. Meanwhile the driver requests no run, and ends those
    /// that it has not requested as not started.
    fn domain_evacuated(&self, _is_evacuated: bool) {}

    /// Asks for a run to be stopped; its future then resolves soon. Has no effect on a run that has
    /// ended.
    fn stop(&self, task: &TaskRef);
}

/// Reads the evacuated failure domains from the source that entries follow.
pub trait EvacuationReader: Send + Sync {
    /// Reads the whole set. Reads may overlap; the caller drops those that it no longer waits for.
    fn read(&self) -> ResultFuture<'static, Evacuations, StoreError>;
}

/// How an agent reads the evacuated failure domains when no entry tells it of them.
pub struct EvacuationReads {
    /// Sends the reads.
    pub reader: Box<dyn EvacuationReader>,
    /// Time within which no task may start any more in a domain after its evacuation was confirmed by the source.
    pub bound_ms: Millis,
}

/// The parts of an agent that an adapter to another platform supplies.
pub struct AgentAdapter {
    /// Clock of the agent, by which the driver is told times.
    pub clock: Clock,
    /// Starts and stops runs on the target.
    pub driver: Arc<dyn TargetDriver>,
    /// Builds the HTTP routes on which the target announces itself.
    pub router: Box<dyn FnOnce(TargetEvents) -> Router + Send>,
    /// Resolves once every run that an earlier incarnation of this agent started has ended. The
    /// agent connects to no entry before.
    pub takeover_complete: TakeoverFuture,
    /// Store of the presence rows of entries; `None` if entries are known only from the settings
    /// and from each other.
    pub presence: Option<Presence>,
    /// Reads of the evacuated failure domains; `None` if the agent learns of them from entries alone.
    pub evacuations: Option<EvacuationReads>,
}

/// Passes the target's announcements and progress to the agent.
#[derive(Clone)]
pub struct TargetEvents {
    pub(crate) core: CoreHandle,
}

impl TargetEvents {
    /// Reports that the target announced itself or sent a heartbeat.
    pub fn announced(&self, announcement: Announcement) {
        self.core
            .send_event(AgentEvent::TargetAnnounced(announcement));
    }

    /// Reports that the target has exited or started anew, unplanned, under the runs of these tasks.
    pub fn crashed(&self, tasks: Vec<CrashedAttempt>) {
        self.core.send_event(AgentEvent::TargetCrashed(tasks));
    }

    /// Reports the progress of runs, in percent.
    pub fn progress(&self, progress: Vec<(TaskRef, u8)>) {
        self.core.send_event(AgentEvent::RunProgress(progress));
    }

    /// Reports that the target accepts no new tasks; running ones continue.
    pub fn goodbye(&self) {
        self.core.send_event(AgentEvent::TargetGoodbye);
    }
}
