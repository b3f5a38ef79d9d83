//! Evacuation of failure domains: which are evacuated, which submissions that leaves without a target, and how load
//! returns afterwards.

use std::collections::BTreeMap;

use dfs_conf::EvacuationUpdate;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;
use dfs_wire::session::EntryItem;
use dfs_wire::session::Evacuations;

use super::Entry;
use super::EntryAction;
use super::EvacuationSource;
use super::Observation;
use super::admit::Needs;
use super::job::Job;
use crate::ConnectionId;

/// Shortest time between two reads of the store of which an agent is told: reads come in quick succession while the
/// configuration changes, and reports many times a second.
const AGE_INTERVAL_MS: Millis = Millis::new(200);

/// Targets that have returned from an evacuation and may be cold. Each takes one task from this entry at first, and one
/// more for each that has ended well there.
#[derive(Debug, Default)]
pub(super) struct ReturningTargets {
    /// Number of tasks that the entry may have placed at an agent at a time.
    limits: BTreeMap<AgentId, u32>,
}

impl ReturningTargets {
    fn begin(&mut self, agent: &AgentId) {
        self.limits.insert(agent.clone(), 1);
    }

    pub fn remove(&mut self, agent: &AgentId) {
        self.limits.remove(agent);
    }

    /// Number of further tasks that an agent with so many outstanding ones may get; `None` without a limit.
    pub fn left(&self, agent: &AgentId, outstanding_tasks: u32) -> Option<u32> {
        let limit = self.limits.get(agent)?;
        Some(limit.saturating_sub(outstanding_tasks))
    }

    /// Raises the limit after a task that ended well, up to the window of the agent, which limits the tasks there anyway.
    fn record_success(&mut self, agent: &AgentId, window: u32) {
        let Some(limit) = self.limits.get_mut(agent) else {
            return;
        };
        *limit += 1;
        // Without a window the agent has no target now.
        if window > 0 && *limit >= window {
            self.limits.remove(agent);
        }
    }
}

impl Entry {
    pub(super) fn on_evacuations_read(
        &mut self,
        update: EvacuationUpdate,
        sent_at: Moment,
        out: &mut Vec<EntryAction>,
    ) {
        if update.confirms(&self.evacuations) {
            self.evacuations_known_at = self.evacuations_known_at.max(Some(sent_at));
        }
        if let Some(evacuations) = update.apply_to(&self.evacuations) {
            self.adopt_evacuations(evacuations, EvacuationSource::Store, out);
        }
    }

    /// Adopts the set of an agent if it is newer, otherwise sends it the newer one. Other agents are looked at only after
    /// a change: all report a change at about the same time.
    pub(super) fn on_agent_evacuations(
        &mut self,
        agent: &AgentId,
        evacuations: Evacuations,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.known_evacuations.adopt(evacuations.clone());
        }
        self.adopt_evacuations(evacuations, EvacuationSource::Agent, out);
        let connection = self.agents.get(agent).and_then(|view| view.connection);
        if let Some(connection) = connection {
            self.send_evacuations_to(connection, out);
        }
    }

    fn adopt_evacuations(
        &mut self,
        evacuations: Evacuations,
        source: EvacuationSource,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.evacuations.adopt(evacuations) {
            return;
        }
        for (agent, view) in &mut self.agents {
            let is_evacuated = self.evacuations.contains(&view.domain);
            let was_evacuated = std::mem::replace(&mut view.is_evacuated, is_evacuated);
            if is_evacuated {
                self.returning.remove(agent);
            } else if was_evacuated {
                self.returning.begin(agent);
            }
        }
        self.update_containment();
        self.is_evacuation_review_due = !self.evacuations.domains.is_empty();
        out.push(EntryAction::Observe(Observation::EvacuationsChanged {
            evacuations: self.evacuations.clone(),
            source,
        }));
        self.send_evacuations(out);
    }

    /// Age of the set, if the store was read since an agent was last told it.
    pub(super) fn take_evacuations_age(&mut self, now: Moment, agent: &AgentId) -> Option<Millis> {
        let known_at = self.evacuations_known_at?;
        let view = self.agents.get_mut(agent)?;
        let is_newer = |told: Moment| known_at.since(told) >= AGE_INTERVAL_MS;
        if !view.told_evacuations_known_at.is_none_or(is_newer) {
            return None;
        }
        view.told_evacuations_known_at = Some(known_at);
        Some(now.since(known_at))
    }

    /// Sends the set to all agents that are not known to hold it.
    fn send_evacuations(&mut self, out: &mut Vec<EntryAction>) {
        let connections: Vec<_> = self.connections.keys().copied().collect();
        for connection in connections {
            self.send_evacuations_to(connection, out);
        }
    }

    fn send_evacuations_to(&mut self, connection: ConnectionId, out: &mut Vec<EntryAction>) {
        if let Some(item) = self.take_evacuations_for(connection) {
            self.send_items(connection, vec![item], out);
        }
    }

    /// The item for an agent that is not known to hold the set, which counts as sent from now on.
    pub(super) fn take_evacuations_for(&mut self, connection: ConnectionId) -> Option<EntryItem> {
        let agent = self.connections.get(&connection)?;
        let view = self.agents.get_mut(agent)?;
        if !self.evacuations.supersedes(&view.known_evacuations) {
            return None;
        }
        view.known_evacuations = self.evacuations.clone();
        Some(EntryItem::Evacuations(self.evacuations.clone()))
    }

    pub(super) fn record_return(&mut self, agent: &AgentId) {
        let window = self.agents.get(agent).map_or(0, |view| view.hint.window);
        self.returning.record_success(agent, window);
    }

    /// Refuses queued submissions of which nothing has run and that no target can run until the end of an evacuation.
    pub(super) fn refuse_evacuated(&mut self, out: &mut Vec<EntryAction>) {
        if !std::mem::take(&mut self.is_evacuation_review_due) {
            return;
        }
        let jobs = self.jobs.iter();
        let has_not_run = jobs.filter(|(_, job)| job.has_not_run());
        let mut judged: Vec<(Needs<'_>, bool)> = Vec::new();
        let mut unservable: Vec<SubmissionId> = Vec::new();
        for (id, job) in has_not_run {
            let needs = Needs::of_job(job);
            let known = judged.iter().find(|(other, _)| *other == needs);
            let is_lost = known.map(|(_, is_lost)| *is_lost);
            let is_lost = is_lost.unwrap_or_else(|| {
                let is_lost = self.is_lost_to_evacuation(&needs);
                judged.push((needs, is_lost));
                is_lost
            });
            if is_lost {
                unservable.push(id.clone());
            }
        }
        for id in unservable {
            let message = self.jobs.get(&id).map(|job: &Job| {
                let needs = Needs::of_job(job);
                self.no_live_target(&needs)
            });
            let message = message.unwrap_or_default();
            self.fail(&id, FailureReason::NoTarget, message, Vec::new(), out);
        }
    }
}
