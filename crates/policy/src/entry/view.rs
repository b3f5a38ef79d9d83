//! An entry's view of one agent incarnation.

use std::collections::BTreeMap;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::ServiceName;
use dfs_ids::SessionNumber;
use dfs_ids::TakeoverNumber;
use dfs_wire::session::Evacuations;
use dfs_wire::session::LoadHint;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;

use crate::ConnectionId;
use crate::estimate::SpeedClass;

/// Load of a full target; slightly above 1 to allow for rounding in load hints.
const FULL_LOAD: f64 = 1.001;
const PERMILLE: f64 = 1_000.0;

/// Last known state of one agent incarnation and its target.
#[derive(Debug)]
pub(super) struct AgentView {
    pub incarnation: Incarnation,
    /// Place among the incarnations of the agent; `None` if the agent can't tell.
    pub takeover: Option<TakeoverNumber>,
    pub domain: FailureDomain,
    /// Connection of the current session, if there is one.
    pub connection: Option<ConnectionId>,
    pub session: SessionNumber,
    /// Whether the agent has listed its held tasks in this session.
    pub is_session_open: bool,
    pub next_seq: u64,
    /// When the agent attached or sent its last report.
    pub last_heard_at: Moment,
    /// Renewal interval granted to the agent for while it holds no tasks.
    pub idle_renew_ms: Millis,
    pub target: TargetState,
    /// What the target last offered; kept while it is absent.
    pub last_offer: Option<Offer>,
    /// Whether the failure domain is evacuated.
    pub is_evacuated: bool,
    /// Speed of the target when it was last reviewed.
    pub speed_class: SpeedClass,
    /// Evacuations that the agent is known to hold or to receive in this session.
    pub known_evacuations: Evacuations,
    /// Time up to which the agent was last told in this session that the set is complete.
    pub told_evacuations_known_at: Option<Moment>,
    /// Sequence number of the report with the target's state; reports may arrive out of order, and an
    /// older one does not replace it.
    pub target_seq: u64,
    pub hint: LoadHint,
    /// Sequence number of the report with the hint.
    pub hint_seq: u64,
    pub hint_received_at: Moment,
    /// Load of those outstanding tasks that were already placed when the hint arrived; the hint
    /// includes it.
    pub own_load_in_hint: f64,
    /// Tasks that were sent to the agent and are not settled, also those of answered submissions.
    pub outstanding: BTreeMap<TaskRef, OutstandingTask>,
    /// Sum of the loads of the outstanding tasks.
    pub own_load: f64,
    /// Load released per microsecond as this entry's tasks end; the sum over the outstanding tasks.
    pub own_release_rate: f64,
    pub config_version: Option<ConfigVersion>,
    /// Sequence number of the report with the configuration version.
    pub config_version_seq: u64,
    /// Whether the agent has chosen this entry as the source of its configuration.
    pub is_config_client: bool,
    /// When the agent was last offered a version in this session, if it has not reported another one since.
    pub config_offered_at: Option<Moment>,
    /// When the agent was last probed in this session for its version.
    pub version_asked_at: Option<Moment>,
    /// When the agent was last asked for its configuration in this session.
    pub config_requested_at: Option<Moment>,
    /// When the agent was probed since its last report.
    pub probed_at: Option<Moment>,
    /// Interval of load hints that was last sent to the agent in this session.
    pub sent_hint_interval_ms: Option<Millis>,
    /// Revision of the typical run times that was last sent to the agent in this session.
    pub sent_typical_revision: u64,
}

/// Properties of an outstanding task, kept after its submission is answered.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutstandingTask {
    /// Fraction of the target's capacity that it takes.
    pub load: f64,
    /// Run time expected at placement, in microseconds.
    pub expected_run_us: f64,
    /// Priority of its submission.
    pub priority: Priority,
    /// Whether a target has crashed under it before.
    pub is_suspect: bool,
    pub placed_at: Moment,
    /// Whether the entry has asked for it back because the target is slow. That its run was stopped is no
    /// failure of the target then.
    pub is_withdrawn: bool,
}

impl OutstandingTask {
    /// Load released per microsecond, averaged over its run.
    fn release_rate(&self) -> f64 {
        self.load / self.expected_run_us.max(1.0)
    }
}

impl AgentView {
    /// What the target offers to new tasks; `None` while it may start none.
    pub fn offer(&self) -> Option<&Offer> {
        match &self.target {
            TargetState::Live(offer) if !self.is_evacuated => Some(offer),
            TargetState::Live(_) | TargetState::Leaving | TargetState::Absent => None,
        }
    }

    /// Whether the target is up, also if it takes no task for an evacuation.
    pub fn is_up(&self) -> bool {
        match &self.target {
            TargetState::Live(_) => true,
            TargetState::Leaving => self.is_evacuated,
            TargetState::Absent => false,
        }
    }

    /// Whether the target offers a service, or did before it went down.
    pub fn last_offered(&self, service: &ServiceName) -> bool {
        let offer = self.last_offer.as_ref();
        offer.is_some_and(|offer| offer.services.contains(service))
    }

    pub fn offers(&self, service: &ServiceName) -> bool {
        self.offer()
            .is_some_and(|offer| offer.services.contains(service))
    }

    pub fn has_suspect(&self) -> bool {
        self.outstanding.values().any(|task| task.is_suspect)
    }

    pub fn outstanding_tasks(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    /// Whether the agent accepts another task: its window limits this entry's outstanding tasks.
    pub fn has_window_left(&self) -> bool {
        self.outstanding_tasks() < self.hint.window
    }

    /// Whether a task can start at once, judged by the last known load.
    pub fn fits_now(&self, task_load: f64) -> bool {
        self.load() + task_load <= FULL_LOAD
    }

    /// Estimated load of the target, 1 when it is full: that of the last hint, corrected for what this
    /// entry has placed and settled since.
    pub fn load(&self) -> f64 {
        self.load_from_others() + self.own_load
    }

    /// Load placed by other entries, as of the last hint.
    pub fn load_from_others(&self) -> f64 {
        (f64::from(self.hint.load_permille) / PERMILLE - self.own_load_in_hint).max(0.0)
    }

    /// Load that the full target releases per microsecond, by this entry's tasks or else by the mean run time.
    pub fn release_rate(&self, mean_run_us: f64) -> f64 {
        if self.own_load > 0.0 {
            self.own_release_rate / self.own_load
        } else {
            1.0 / mean_run_us.max(1.0)
        }
    }

    pub fn add_outstanding(&mut self, task: TaskRef, outstanding: OutstandingTask) {
        self.own_load += outstanding.load;
        self.own_release_rate += outstanding.release_rate();
        self.outstanding.insert(task, outstanding);
    }

    /// Removes a task that is settled; `None` if it was not outstanding.
    pub fn remove_outstanding(&mut self, task: &TaskRef) -> Option<OutstandingTask> {
        let removed = self.outstanding.remove(task)?;
        self.own_load_in_hint = (self.own_load_in_hint - removed.load).max(0.0);
        self.own_load -= removed.load;
        self.own_release_rate = (self.own_release_rate - removed.release_rate()).max(0.0);
        if self.outstanding.is_empty() {
            // Keeps rounding errors from accumulating.
            self.own_load = 0.0;
            self.own_release_rate = 0.0;
        }
        Some(removed)
    }
}
