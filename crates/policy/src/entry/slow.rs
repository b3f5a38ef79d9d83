//! Targets on which tasks take far longer than elsewhere.

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;
use dfs_wire::session::TaskRef;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::view::AgentView;

/// From this attempt on a task stays where it is.
const LAST_ATTEMPT: Attempt = Attempt::new(2);
const PERMILLE: f64 = 1_000.0;

impl Entry {
    /// Takes note of how fast a target is; repeatable tasks are fetched back from one that has become
    /// slow, since they end sooner if they begin anew elsewhere.
    pub(super) fn note_stretch(
        &mut self,
        now: Moment,
        agent: &AgentId,
        stretch_permille: u32,
        out: &mut Vec<EntryAction>,
    ) {
        let was_slow = self.is_slow(agent, now);
        let stretch = f64::from(stretch_permille) / PERMILLE;
        self.speeds.record_running(agent, stretch, now);
        if was_slow || !self.is_slow(agent, now) {
            return;
        }
        let agent_id = agent.clone();
        out.push(EntryAction::Observe(Observation::TargetSlow {
            agent: agent_id,
            stretch_permille,
        }));
        if self.are_few_slow(now) {
            self.fetch_back(agent, out);
        }
    }

    /// Whether other targets are so much faster that beginning anew there pays. Where many seem slow,
    /// the expected run times are too short.
    fn are_few_slow(&self, now: Moment) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let slow = self.agents.keys().filter(|agent| self.is_slow(agent, now));
        let slow = f64::from(u32::try_from(slow.count()).unwrap_or(u32::MAX));
        let all = f64::from(u32::try_from(self.agents.len()).unwrap_or(u32::MAX));
        slow <= all * config.rules.ejection.max_part
    }

    fn is_slow(&self, agent: &AgentId, now: Moment) -> bool {
        let open = self.agents.get(agent).map_or(0, AgentView::open_tasks);
        self.speeds.is_slow(agent, open, now)
    }

    fn fetch_back(&mut self, agent: &AgentId, out: &mut Vec<EntryAction>) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let is_repeatable = |task: &&TaskRef| {
            let job = self.jobs.get(&task.submission);
            job.is_some_and(|job| job.terms.repeatable) && task.attempt < LAST_ATTEMPT
        };
        let tasks: Vec<_> = view
            .outstanding
            .keys()
            .filter(is_repeatable)
            .cloned()
            .collect();
        if let Some(connection) = view.connection
            && !tasks.is_empty()
        {
            self.send_to(connection, vec![EntryItem::Withdraw(tasks)], out);
        }
    }
}
