//! Placing queued tasks on agents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::session::EntryItem;
use dfs_wire::session::IfFull;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use rand::Rng;

use super::Constraints;
use super::Entry;
use super::EntryAction;
use super::Observation;
use super::admit::allows;
use super::job::TaskState;
use super::queue::Lane;
use super::view::AgentView;
use super::view::Weight;
use crate::placement::Candidate;
use crate::placement::pick;
use crate::placement::to_permille;

/// Agents looked at for one task; at 95% load one of them has a free slot almost surely.
const MAX_CHOICES: usize = 48;

/// Load that puts a target after all others, far above any true one.
const SLOW_LOAD: f64 = 1e6;

/// Order of lanes: priority, then use of the share.
type LaneKey = (Priority, u64);

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
        let mut lanes: BTreeSet<(LaneKey, Lane)> = self
            .queue
            .lanes()
            .map(|lane| (self.lane_key(lane), lane.clone()))
            .collect();
        let mut closed = BTreeSet::new();
        while let Some((_, lane)) = lanes.pop_first() {
            let is_demanding = self.demands_resources(&lane);
            let draws_on_all = !is_demanding
                && config
                    .group(&lane.group)
                    .is_some_and(|group| group.targets.is_empty());
            if draws_on_all && closed.contains(&lane.service) {
                continue;
            }
            if self.place_next(now, &config, &lane, &mut batches) {
                if self.queue.first(&lane).is_some() {
                    lanes.insert((self.lane_key(&lane), lane));
                }
                continue;
            }
            self.probe_silent(now, &lane, out);
            if draws_on_all {
                closed.insert(lane.service);
            }
        }
        self.send_batches(now, batches, out);
    }

    /// Orders lanes by priority, then by what their groups used of their shares; numbers that are
    /// not negative sort as their bits.
    fn lane_key(&self, lane: &Lane) -> LaneKey {
        let used = self.shares.normalized_usage(&lane.group).max(0.0).to_bits();
        (lane.priority, used)
    }

    /// Whether the next submission of a lane names what its tasks take; another one may then find
    /// room where it does not.
    fn demands_resources(&self, lane: &Lane) -> bool {
        let first = self.queue.first(lane).and_then(|name| self.jobs.get(name));
        first.is_some_and(|job| job.terms.demand != Resources::default())
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
        let part = self.part_at(&agent, &submission);
        let if_full = self.if_full(most, &submission, index, &agent, part);
        let key = BatchKey {
            agent,
            submission,
            if_full,
        };
        self.place(lane, key, index, part, batches);
        true
    }

    /// A task goes back only if a slot seemed free, since otherwise no other agent is better.
    fn if_full(
        &self,
        max_hand_backs: u32,
        submission: &SubmissionId,
        index: TaskIndex,
        agent: &AgentId,
        part: f64,
    ) -> IfFull {
        let task = self.jobs.get(submission).and_then(|job| job.task(index));
        let may_return = task.is_some_and(|task| task.hand_backs < max_hand_backs);
        let view = self.agents.get(agent);
        let seems_free = view.is_some_and(|view| view.has_free_room(part));
        if may_return && seems_free {
            IfFull::HandBack
        } else {
            IfFull::Queue
        }
    }

    /// Part of the agent's target that one task of the submission takes.
    fn part_at(&self, agent: &AgentId, submission: &SubmissionId) -> f64 {
        let offer = self.agents.get(agent).and_then(AgentView::offer);
        let job = self.jobs.get(submission);
        offer.zip(job).map_or(0.0, |(offer, job)| {
            offer.fraction_per_task(&job.terms.demand)
        })
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
        let sample = self.sample();
        let job = self.jobs.get(submission)?;
        let avoid = job.task(index)?.avoid.clone();
        let demand = job.terms.demand;
        let max_load = config.rules.placement.max_load;
        let choice = |(agent, view): (&AgentId, &AgentView)| {
            let offer = view.offer()?;
            let fits = allows(group, &offer.target)
                && offer.resources.covers(&required)
                && job.constraints.allow(offer, || job.placed_at(agent));
            let part = offer.fraction_per_task(&demand);
            let has_room = view.has_room() && view.load() + part <= max_load && part <= 1.0;
            let may_take = fits && view.offers(&lane.service) && has_room;
            (may_take && self.is_fresh(now, view) && !self.is_held_back(now, agent, view)).then(
                || Candidate {
                    id: agent.clone(),
                    load: self.expected_load(now, agent, view, part),
                },
            )
        };
        let sampled = sample
            .iter()
            .filter_map(|agent| self.agents.get_key_value(agent));
        let mut eligible: Vec<_> = sampled.filter_map(choice).collect();
        if eligible.is_empty() {
            eligible = self.agents.iter().filter_map(choice).collect();
        }
        let others: Vec<_> = eligible
            .iter()
            .filter(|c| Some(&c.id) != avoid.as_ref())
            .cloned()
            .collect();
        let eligible = if others.is_empty() { eligible } else { others };
        pick(config.rules.placement.policy, &eligible, &mut self.random)
    }

    /// Whether the agent's target is set aside, or on trial with a task already.
    fn is_held_back(&self, now: Moment, agent: &AgentId, view: &AgentView) -> bool {
        let on_probation = || self.ejection.is_on_probation(agent, now);
        self.ejection.is_ejected(agent, now) || (view.open_tasks() > 0 && on_probation())
    }

    /// Agents to choose from: all, or some at random where there are many.
    fn sample(&mut self) -> Vec<AgentId> {
        if self.roster.len() <= MAX_CHOICES {
            return self.roster.clone();
        }
        let random = &mut self.random;
        let any = || self.roster[random.random_range(0..self.roster.len())].clone();
        std::iter::repeat_with(any).take(MAX_CHOICES).collect()
    }

    /// Load with a further task; a slow target comes after all others.
    fn expected_load(&self, now: Moment, agent: &AgentId, view: &AgentView, part: f64) -> f64 {
        let is_slow = self.speeds.is_slow(agent, view.open_tasks(), now);
        view.load() + part + if is_slow { SLOW_LOAD } else { 0.0 }
    }

    pub(super) fn is_fresh(&self, now: Moment, view: &AgentView) -> bool {
        view.is_open && now < view.heard_at + self.identity.lease.fresh_ms
    }

    fn place(
        &mut self,
        lane: &Lane,
        key: BatchKey,
        index: TaskIndex,
        part: f64,
        batches: &mut Batches,
    ) {
        let (agent, submission) = (&key.agent, &key.submission);
        let charged_us = self.totals.mean_run_us();
        let Some(job) = self.jobs.get_mut(submission) else {
            return;
        };
        job.pending.pop_front();
        let is_last = job.pending.is_empty();
        let weight = Weight {
            part,
            run_us: job.expected_run_us(charged_us),
            priority: job.terms.priority,
        };
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
            let task = TaskRef {
                submission: submission.clone(),
                task: index,
                attempt: placed.attempt,
            };
            view.hold(task, weight);
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
                terms: job.terms,
                tasks,
            };
            if let Some(view) = self.agents.get(&key.agent) {
                out.push(EntryAction::Observe(placed(
                    now, view, &key.agent, &placement,
                )));
            }
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

fn placed(now: Moment, view: &AgentView, agent: &AgentId, placement: &Placement) -> Observation {
    let tasks = placement.tasks.iter();
    Observation::TasksPlaced {
        submission: placement.submission.clone(),
        agent: agent.clone(),
        tasks: tasks.map(|placed| (placed.task, placed.attempt)).collect(),
        load_permille: to_permille(view.load()),
        hint_age_ms: now.since(view.hint_at),
        age_ms: placement.age_ms,
    }
}

impl Constraints {
    /// Whether a target may take another task; `placed` counts those that it has.
    pub(super) fn allow(&self, offer: &Offer, placed: impl FnOnce() -> u32) -> bool {
        let has_label = self
            .label
            .as_ref()
            .is_none_or(|label| offer.labels.contains(label));
        has_label && self.max_per_target.is_none_or(|most| placed() < most)
    }
}
