//! What an entry knows of one agent incarnation.

use std::collections::BTreeMap;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::ServiceName;
use dfs_ids::SessionNumber;
use dfs_wire::session::LoadHint;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;

use crate::ConnectionId;

/// Load of a target without room; a little above one for rounding in hints.
const FULL: f64 = 1.001;
const PERMILLE: f64 = 1_000.0;

/// One agent incarnation.
#[derive(Debug)]
pub(super) struct AgentView {
    pub incarnation: Incarnation,
    pub domain: FailureDomain,
    /// Absent between two sessions.
    pub connection: Option<ConnectionId>,
    pub session: SessionNumber,
    /// Whether the agent has listed its held tasks in this session.
    pub is_open: bool,
    pub next_message: u64,
    pub heard_at: Moment,
    /// Longest silence that the agent was granted while it holds nothing.
    pub idle_renew_ms: Millis,
    pub target: TargetState,
    /// Report that brought the state of the target; an older one does not replace it.
    pub target_seq: u64,
    pub hint: LoadHint,
    /// Report that brought the hint.
    pub hint_seq: u64,
    /// When it came.
    pub hint_at: Moment,
    /// Part of this entry's load there when the hint was made that is not settled yet.
    pub load_at_hint: f64,
    /// Tasks handed to the agent and not settled, also those of answered submissions.
    pub outstanding: BTreeMap<TaskRef, Weight>,
    /// Sum of the parts of the outstanding tasks.
    pub own_load: f64,
    pub version: Option<ConfigVersion>,
    /// Report that brought the version.
    pub version_seq: u64,
    pub takes_config: bool,
    /// Version that it was last offered in this session although it takes its configuration elsewhere.
    pub offered: Option<ConfigVersion>,
    pub probed_at: Option<Moment>,
    /// Cadence of hints that it was told in this session.
    pub told_hint_ms: Option<Millis>,
}

/// What one outstanding task weighs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Weight {
    /// Part of the target that it takes.
    pub part: f64,
    /// Run time that was expected at placement, in microseconds.
    pub run_us: f64,
    /// Priority of its submission, also after that one is answered.
    pub priority: Priority,
}

impl AgentView {
    pub fn offer(&self) -> Option<&Offer> {
        match &self.target {
            TargetState::Live(offer) => Some(offer),
            TargetState::Leaving | TargetState::Absent => None,
        }
    }

    pub fn offers(&self, service: &ServiceName) -> bool {
        self.offer()
            .is_some_and(|offer| offer.services.contains(service))
    }

    pub fn open_tasks(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    /// Whether another task fits into the window that the agent granted.
    pub fn has_room(&self) -> bool {
        self.open_tasks() < self.hint.window
    }

    /// Whether a task of this part finds room at once, as far as is known.
    pub fn has_free_room(&self, part: f64) -> bool {
        self.load() + part <= FULL
    }

    /// Known load: that of the hint, corrected by what this entry has placed and settled since.
    pub fn load(&self) -> f64 {
        self.load_of_others() + self.own_load
    }

    /// Known load that other entries have placed.
    pub fn load_of_others(&self) -> f64 {
        (f64::from(self.hint.load_permille) / PERMILLE - self.load_at_hint).max(0.0)
    }

    /// Load that comes free for each microsecond through the ends of this entry's tasks.
    pub fn own_rate(&self) -> f64 {
        let rate = |weight: &Weight| weight.part / weight.run_us.max(1.0);
        self.outstanding.values().map(rate).sum()
    }

    pub fn hold(&mut self, task: TaskRef, weight: Weight) {
        self.own_load += weight.part;
        self.outstanding.insert(task, weight);
    }

    /// Removes a task from what the agent holds, and returns what it weighed if it was there.
    pub fn release(&mut self, task: &TaskRef) -> Option<Weight> {
        let weight = self.outstanding.remove(task)?;
        self.load_at_hint = (self.load_at_hint - weight.part).max(0.0);
        self.own_load -= weight.part;
        if self.outstanding.is_empty() {
            // Rounding errors do not add up.
            self.own_load = 0.0;
        }
        Some(weight)
    }
}
