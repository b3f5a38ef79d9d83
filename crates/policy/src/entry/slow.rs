//! Slow targets: detection from load hints, and withdrawal of repeatable tasks.

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;
use dfs_wire::session::TaskRef;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::view::AgentView;

/// Tasks on this or a later attempt are not withdrawn.
const WITHDRAWAL_ATTEMPT_LIMIT: Attempt = Attempt::new(2);
const PERMILLE: f64 = 1_000.0;

impl Entry {
    /// Records the slowdown that an agent reports for its target. When the target becomes slow, its
    /// repeatable tasks are withdrawn, since they end sooner if restarted elsewhere.
    pub(super) fn on_reported_slowdown(
        &mut self,
        now: Moment,
        agent: &AgentId,
        slowdown_permille: u32,
        out: &mut Vec<EntryAction>,
    ) {
        let was_slow = self.is_slow(agent, now);
        let slowdown = f64::from(slowdown_permille) / PERMILLE;
        self.speeds.record_running(agent, slowdown, now);
        if was_slow || !self.is_slow(agent, now) {
            return;
        }
        let agent_id = agent.clone();
        out.push(EntryAction::Observe(Observation::TargetSlow {
            agent: agent_id,
            slowdown_permille,
        }));
        if self.is_slowness_isolated(now) {
            self.withdraw_repeatable(agent, out);
        }
    }

    /// Whether so few targets are slow that restarting tasks on others pays. If many seem slow, it is the
    /// expected run times that are too short.
    fn is_slowness_isolated(&self, now: Moment) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let slow = self.agents.keys().filter(|agent| self.is_slow(agent, now));
        let slow_count = f64::from(u32::try_from(slow.count()).unwrap_or(u32::MAX));
        let agent_count = f64::from(u32::try_from(self.agents.len()).unwrap_or(u32::MAX));
        slow_count <= agent_count * config.rules.ejection.max_part
    }

    fn is_slow(&self, agent: &AgentId, now: Moment) -> bool {
        let outstanding = self
            .agents
            .get(agent)
            .map_or(0, AgentView::outstanding_tasks);
        self.speeds.is_slow(agent, outstanding, now)
    }

    fn withdraw_repeatable(&mut self, agent: &AgentId, out: &mut Vec<EntryAction>) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let may_withdraw = |task: &&TaskRef| {
            let job = self.jobs.get(&task.submission);
            job.is_some_and(|job| job.terms.repeatable) && task.attempt < WITHDRAWAL_ATTEMPT_LIMIT
        };
        let tasks: Vec<_> = view
            .outstanding
            .keys()
            .filter(may_withdraw)
            .cloned()
            .collect();
        if let Some(connection) = view.connection
            && !tasks.is_empty()
        {
            self.send_items(connection, vec![EntryItem::Withdraw(tasks)], out);
        }
    }
}
