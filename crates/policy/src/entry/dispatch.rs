//! Placing queued tasks on agents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::session::EntryItem;
use dfs_wire::session::IfFull;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskRef;

use super::Entry;
use super::EntryAction;
use super::admit::allows;
use super::job::TaskState;
use super::queue::Lane;
use super::view::AgentView;
use crate::placement::Choice;
use crate::placement::pick;

/// Tasks placed in one pass.
type Batches = BTreeMap<BatchKey, Vec<PlacedTask>>;

/// What the tasks of one placement have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BatchKey {
    agent: AgentId,
    submission: SubmissionId,
    if_full: IfFull,
}

impl Entry {
    pub(super) fn dispatch(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let mut batches = Batches::new();
        let mut blocked = BTreeSet::new();
        while let Some(lane) = self.next_lane(&blocked) {
            if !self.place_next(now, &config, &lane, &mut batches) {
                self.probe_silent(now, &lane, out);
                blocked.insert(lane);
            }
        }
        self.send_batches(now, batches, out);
    }

    /// The lane of the group that used least of its share.
    fn next_lane(&self, blocked: &BTreeSet<Lane>) -> Option<Lane> {
        let used = |lane: &Lane| self.shares.used_by(&lane.group);
        let open = self.queue.lanes().filter(|lane| !blocked.contains(lane));
        open.min_by(|a, b| used(a).total_cmp(&used(b))).cloned()
    }

    /// Places one task of a lane; false if no target takes one.
    fn place_next(
        &mut self,
        now: Moment,
        config: &Arc<Config>,
        lane: &Lane,
        batches: &mut Batches,
    ) -> bool {
        let Some(submission) = self.queue.first(lane).cloned() else {
            return false;
        };
        let Some(index) = self
            .jobs
            .get(&submission)
            .and_then(|job| job.pending.front().copied())
        else {
            self.queue.take(lane, &submission);
            return true;
        };
        let Some(agent) = self.choose_agent(now, config, lane, &submission, index) else {
            return false;
        };
        let most = config.rules.placement.max_hand_backs;
        let if_full = self.if_full(most, &submission, index, &agent);
        let key = BatchKey {
            agent,
            submission,
            if_full,
        };
        self.place(lane, key, index, batches);
        true
    }

    /// A task goes back only if a slot seemed free, since otherwise no other agent is better.
    fn if_full(
        &self,
        max_hand_backs: u32,
        submission: &SubmissionId,
        index: TaskIndex,
        agent: &AgentId,
    ) -> IfFull {
        let task = self.jobs.get(submission).and_then(|job| job.task(index));
        let may_return = task.is_some_and(|task| task.hand_backs < max_hand_backs);
        let seems_free = self.agents.get(agent).is_some_and(AgentView::has_free_slot);
        if may_return && seems_free {
            IfFull::HandBack
        } else {
            IfFull::Queue
        }
    }

    fn choose_agent(
        &mut self,
        now: Moment,
        config: &Config,
        lane: &Lane,
        submission: &SubmissionId,
        index: TaskIndex,
    ) -> Option<AgentId> {
        let group = config.group(&lane.group)?;
        let required = config.service(&lane.service)?.requires;
        let avoid = self.jobs.get(submission)?.task(index)?.avoid.clone();
        let fits = |view: &AgentView| {
            view.offer().is_some_and(|offer| {
                allows(group, &offer.target) && offer.resources.covers(&required)
            })
        };
        let eligible: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, view)| view.offers(&lane.service) && view.has_room() && fits(view))
            .filter(|(_, view)| self.is_fresh(now, view))
            .filter(|(agent, _)| !self.ejection.is_ejected(agent, now))
            .filter(|(agent, view)| {
                view.open_tasks() == 0 || !self.ejection.is_on_trial(agent, now)
            })
            .map(|(agent, view)| Choice {
                key: agent,
                load: self.expected_load(now, agent, view),
            })
            .collect();
        let others: Vec<_> = eligible
            .iter()
            .filter(|c| Some(c.key) != avoid.as_ref())
            .copied()
            .collect();
        let eligible = if others.is_empty() { eligible } else { others };
        let chosen = pick(config.rules.placement.policy, &eligible, &mut self.random);
        chosen.cloned()
    }

    /// Load with a further task, longer by as much as the target is slower than the others.
    fn expected_load(&self, now: Moment, agent: &AgentId, view: &AgentView) -> f64 {
        let mean_us = self.totals.mean_run_us();
        let slowness = self.speeds.slowness(agent, mean_us, view.open_tasks(), now);
        view.load_with(1) * slowness
    }

    pub(super) fn is_fresh(&self, now: Moment, view: &AgentView) -> bool {
        view.is_open && now < view.heard_at + self.identity.lease.fresh_ms
    }

    fn place(&mut self, lane: &Lane, key: BatchKey, index: TaskIndex, batches: &mut Batches) {
        let (agent, submission) = (&key.agent, &key.submission);
        let charged_us = self.totals.mean_run_us();
        let Some(job) = self.jobs.get_mut(submission) else {
            return;
        };
        job.pending.pop_front();
        let is_last = job.pending.is_empty();
        let Some(task) = job.task_mut(index) else {
            return;
        };
        task.state = TaskState::Placed {
            agent: agent.clone(),
            charged_us,
        };
        let placed = PlacedTask {
            task: index,
            attempt: task.attempt,
            body: task.body.clone(),
        };
        if let Some(view) = self.agents.get_mut(agent) {
            view.outstanding.insert(TaskRef {
                submission: submission.clone(),
                task: index,
                attempt: placed.attempt,
            });
        }
        self.shares.charge(&lane.group, charged_us);
        self.queue.uncount(&lane.group, 1);
        if is_last {
            self.queue.take(lane, submission);
        }
        batches.entry(key).or_default().push(placed);
    }

    fn send_batches(&mut self, now: Moment, batches: Batches, out: &mut Vec<EntryAction>) {
        let mut by_agent: BTreeMap<AgentId, Vec<EntryItem>> = BTreeMap::new();
        for (key, tasks) in batches {
            let Some(job) = self.jobs.get_mut(&key.submission) else {
                continue;
            };
            job.messages += 1;
            let placement = Placement {
                submission: key.submission,
                group: job.group.clone(),
                service: job.service.clone(),
                time_left_ms: job.deadline.since(now),
                age_ms: now.since(job.submitted_at),
                left: job.left,
                if_full: key.if_full,
                tasks,
            };
            by_agent
                .entry(key.agent)
                .or_default()
                .push(EntryItem::Place(placement));
        }
        for (agent, items) in by_agent {
            if let Some(connection) = self.agents.get(&agent).and_then(|view| view.connection) {
                self.send_to(connection, items, out);
            }
        }
    }

    /// Asks agents that could take the lane's tasks, but were silent for too long, for a report.
    fn probe_silent(&mut self, now: Moment, lane: &Lane, out: &mut Vec<EntryAction>) {
        let again_ms = self.identity.lease.busy_renew_ms;
        let silent = |view: &AgentView| {
            let due = view.probed_at.is_none_or(|at| now >= at + again_ms);
            view.is_open && view.offers(&lane.service) && !self.is_fresh(now, view) && due
        };
        let silent: Vec<_> = self
            .agents
            .values()
            .filter(|view| silent(view))
            .filter_map(|view| view.connection)
            .collect();
        for connection in silent {
            let agent = self.connections.get(&connection);
            if let Some(view) = agent.and_then(|agent| self.agents.get_mut(agent)) {
                view.probed_at = Some(now);
            }
            self.send_to(connection, vec![EntryItem::Probe], out);
        }
    }
}
