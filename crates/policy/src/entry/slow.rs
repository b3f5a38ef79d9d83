//! Slow targets: detection from load hints, and withdrawal of repeatable tasks.

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::Moment;
use dfs_wire::session::EntryItem;
use dfs_wire::session::LoadHint;
use dfs_wire::session::TaskRef;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::millis_from_micros;
use super::view::AgentView;
use super::view::OutstandingTask;

/// Tasks on this or a later attempt are not withdrawn.
const WITHDRAWAL_ATTEMPT_LIMIT: Attempt = Attempt::new(2);
const PERMILLE: f64 = 1_000.0;

impl Entry {
    /// Records the slowdown that an agent reports for its target. If the target is slow, repeatable tasks that
    /// would end too late there are withdrawn.
    pub(super) fn on_reported_slowdown(
        &mut self,
        now: Moment,
        agent: &AgentId,
        hint: &LoadHint,
        out: &mut Vec<EntryAction>,
    ) {
        let was_slow = self.is_slow(agent, now);
        let mut slowdown = f64::from(hint.slowdown_permille) / PERMILLE;
        if !hint.is_typical_known {
            slowdown /= self.speeds.max_declared_ratio();
        }
        let max_slow = self.max_slow_targets();
        self.speeds.record_running(agent, slowdown, max_slow, now);
        if !self.is_slow(agent, now) {
            return;
        }
        if !was_slow {
            out.push(EntryAction::Observe(Observation::TargetSlow {
                agent: agent.clone(),
                slowdown_permille: hint.slowdown_permille,
            }));
        }
        self.withdraw_late(now, agent, slowdown, out);
    }

    /// Number of targets that may count as slow at a time. If more seem to be, it is the expected run times that are
    /// too short, and restarting tasks elsewhere does not pay.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a small positive number"
    )]
    pub(super) fn max_slow_targets(&self) -> usize {
        let config = self.config.as_ref();
        let max_part = config.map_or(0.0, |config| config.rules.ejection.max_part);
        (self.agents.len() as f64 * max_part) as usize
    }

    fn is_slow(&self, agent: &AgentId, now: Moment) -> bool {
        let outstanding = self
            .agents
            .get(agent)
            .map_or(0, AgentView::outstanding_tasks);
        self.speeds.is_slow(agent, outstanding, now)
    }

    /// Withdraws the repeatable tasks of a slow target that are expected to miss their objective there and to end
    /// sooner elsewhere.
    fn withdraw_late(
        &mut self,
        now: Moment,
        agent: &AgentId,
        slowdown: f64,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let Some(connection) = view.connection else {
            return;
        };
        let is_late = |(task, outstanding): &(&TaskRef, &OutstandingTask)| {
            !outstanding.is_withdrawn && self.is_late_there(now, task, outstanding, slowdown)
        };
        let late = view.outstanding.iter().filter(is_late);
        let tasks: Vec<_> = late.map(|(task, _)| task.clone()).collect();
        if tasks.is_empty() {
            return;
        }
        if let Some(view) = self.agents.get_mut(agent) {
            for task in &tasks {
                if let Some(outstanding) = view.outstanding.get_mut(task) {
                    outstanding.is_withdrawn = true;
                }
            }
        }
        self.send_items(connection, vec![EntryItem::Withdraw(tasks)], out);
    }

    fn is_late_there(
        &self,
        now: Moment,
        task: &TaskRef,
        outstanding: &OutstandingTask,
        slowdown: f64,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.submission) else {
            return false;
        };
        if !job.terms.repeatable || task.attempt >= WITHDRAWAL_ATTEMPT_LIMIT {
            return false;
        }
        let run_us = outstanding.expected_run_us * self.speeds.declared_ratio(&job.kind());
        let end_there = outstanding.placed_at + millis_from_micros(run_us * slowdown);
        let end_elsewhere = now + millis_from_micros(run_us);
        let is_in_time = job.objective_at.is_some_and(|at| end_there <= at);
        end_there > end_elsewhere && !is_in_time
    }
}
