//! Evacuation of the failure domain of the target.

use dfs_ids::Incarnation;
use dfs_wire::session::Evacuations;

use super::Agent;
use super::AgentAction;
use super::EvacuationSource;
use super::Observation;

impl Agent {
    /// Whether the target must start no task because its failure domain is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        let domain = self.domain.as_ref();
        domain.is_some_and(|domain| self.evacuations.contains(domain))
    }

    /// Adopts the set of an entry if it is newer; otherwise the next report tells the entry the newer one.
    pub(super) fn on_evacuations(
        &mut self,
        entry: Incarnation,
        evacuations: Evacuations,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(view) = self.entries.get_mut(&entry) {
            view.known_evacuations.adopt(evacuations.clone());
        }
        self.adopt_evacuations(evacuations, EvacuationSource::Entry, out);
    }

    /// Adopts a set if it is newer. Queued tasks are handed back if it evacuates the domain of the target.
    pub(super) fn adopt_evacuations(
        &mut self,
        evacuations: Evacuations,
        source: EvacuationSource,
        out: &mut Vec<AgentAction>,
    ) {
        let was_evacuated = self.is_evacuated();
        if !self.evacuations.adopt(evacuations) {
            return;
        }
        out.push(AgentAction::Observe(Observation::EvacuationsChanged {
            evacuations: self.evacuations.clone(),
            source,
        }));
        let is_evacuated = self.is_evacuated();
        if is_evacuated == was_evacuated {
            return;
        }
        out.push(AgentAction::DomainEvacuated(is_evacuated));
        self.mark_target_state_pending();
        if is_evacuated {
            self.hand_back_queued();
        }
    }
}
