//! What an entry knows of one agent incarnation.

use std::collections::BTreeSet;

use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::ServiceName;
use dfs_ids::SessionNumber;
use dfs_wire::session::LoadHint;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;

use crate::ConnectionId;

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
    /// Tasks of this entry running or queued there when the hint was made.
    pub open_at_hint: u32,
    /// Tasks handed to the agent and not settled, also those of answered submissions.
    pub outstanding: BTreeSet<TaskRef>,
    pub version: Option<ConfigVersion>,
    /// Report that brought the version.
    pub version_seq: u64,
    pub takes_config: bool,
    pub probed_at: Option<Moment>,
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

    /// Whether a slot is free, as far as is known.
    pub fn has_free_slot(&self) -> bool {
        self.load() < 1.0
    }

    /// Known open tasks for each slot: those of the hint, corrected by what this entry has placed
    /// and settled since.
    pub fn load(&self) -> f64 {
        self.load_with(0)
    }

    /// [`Self::load`] if so many tasks are added.
    pub fn load_with(&self, added: u32) -> f64 {
        let slots = self.offer().map_or(1, |offer| offer.slots.get().max(1));
        f64::from(self.open_of_others() + self.open_tasks() + added) / f64::from(slots)
    }

    /// Known open tasks of other entries.
    pub fn open_of_others(&self) -> u32 {
        let hinted = self.hint.running + self.hint.queued;
        hinted.saturating_sub(self.open_at_hint)
    }
}
