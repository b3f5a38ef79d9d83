//! Placement of queued tasks on agents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::session::EntryItem;
use dfs_wire::session::IfFull;
use dfs_wire::session::Origin;
use dfs_wire::session::PlacedTask;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Resources;

use super::Constraints;
use super::Entry;
use super::EntryAction;
use super::NearPlacement;
use super::Observation;
use super::choose::Choice;
use super::choose::WaitKey;
use super::choose::Waiting;
use super::job::TaskState;
use super::job::millis_from_micros;
use super::queue::Lane;
use super::view::AgentView;
use super::view::OutstandingTask;
use crate::order::Rank;
use crate::placement::to_permille;

/// Sort key of lanes: priority, then how much of its share the group has used.
type LaneOrder = (Priority, u64);

/// Tasks placed in one pass and not sent yet.
type Batches = BTreeMap<BatchKey, Batch>;

#[derive(Debug, Default)]
struct Batch {
    tasks: Vec<PlacedTask>,
    /// Tasks that have waited for targets near their data.
    waited_tasks: u64,
    waited_us: u64,
    /// Expected run time that the wait has saved.
    saved_us: f64,
}

const MICROS_PER_MILLI: u64 = 1_000;

/// What one pass over the queue has decided so far.
#[derive(Debug)]
struct Pass {
    batches: Batches,
    waiting: Waiting,
    /// For lanes with waiting tasks, the first submission of which not all tasks wait.
    firsts: BTreeMap<Lane, (Rank, SubmissionId)>,
}

/// What became of the next task of a lane.
enum Next {
    /// It was placed, or waits for a target without room; the next one may be placed.
    Went,
    /// No target has room for it.
    Full,
    /// All tasks of the lane wait.
    AllWait,
}

/// Tasks with the same key are sent as one [`Placement`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BatchKey {
    agent: AgentId,
    submission: SubmissionId,
    if_full: IfFull,
    /// Targets that have crashed under each of the tasks.
    crashes: u32,
}

impl Entry {
    pub(super) fn dispatch(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let mut pass = Pass {
            batches: Batches::new(),
            waiting: Waiting::new(self.required_loads(&config)),
            firsts: BTreeMap::new(),
        };
        let mut lanes: BTreeSet<(LaneOrder, Lane)> = self
            .queue
            .lanes()
            .map(|lane| (self.lane_order(lane), lane.clone()))
            .collect();
        // Services for which a task that takes one slot of any target found no room.
        let mut full_services = BTreeSet::new();
        while let Some((_, lane)) = lanes.pop_first() {
            let is_demanding = self.demands_resources(&lane);
            let is_unrestricted = !is_demanding
                && lane.contained.is_none()
                && config
                    .group(&lane.group)
                    .is_some_and(|group| group.targets.is_empty());
            if is_unrestricted && full_services.contains(&lane.service) {
                continue;
            }
            match self.place_next(now, &config, &lane, &mut pass) {
                Next::Went => {
                    if self.queue.first(&lane).is_some() {
                        lanes.insert((self.lane_order(&lane), lane));
                    }
                }
                Next::Full => {
                    self.probe_silent(now, &lane, out);
                    if is_unrestricted {
                        full_services.insert(lane.service);
                    }
                }
                Next::AllWait => {}
            }
        }
        self.send_batches(now, pass.batches, out);
    }

    /// Orders lanes by priority, then by how much of their shares the groups have used. The bits of
    /// non-negative floats sort like their values.
    fn lane_order(&self, lane: &Lane) -> LaneOrder {
        let used = self.shares.normalized_usage(&lane.group).max(0.0).to_bits();
        (lane.priority, used)
    }

    /// Whether the next submission of a lane declares a resource demand. If it finds no room, other
    /// submissions for the same service still may.
    fn demands_resources(&self, lane: &Lane) -> bool {
        let first = self.queue.first(lane).and_then(|id| self.jobs.get(id));
        first.is_some_and(|job| job.terms.demand != Resources::default())
    }

    /// Places the next task of a lane, or decides that it waits for a target without room.
    fn place_next(
        &mut self,
        now: Moment,
        config: &Arc<Config>,
        lane: &Lane,
        pass: &mut Pass,
    ) -> Next {
        let Some((submission, index)) = self.next_pending(lane, pass) else {
            return Next::AllWait;
        };
        let Some(index) = index else {
            self.queue.remove(lane, &submission);
            return Next::Went;
        };
        let agent = match self.choose_agent(now, config, lane, &submission, index, &pass.waiting) {
            Choice::Agent(agent) => agent,
            Choice::Wait { key, load } => {
                let job = self.jobs.get_mut(&submission);
                if let Some(task) = job.and_then(|job| job.task_mut(index))
                    && matches!(key, WaitKey::Near(_))
                {
                    task.waits_since.get_or_insert(now);
                }
                pass.waiting.add(submission, index, key, load);
                return Next::Went;
            }
            Choice::Full => return Next::Full,
        };
        let max_hand_backs = config.rules.placement.max_hand_backs;
        let task_load = self.task_load_on(&agent, &submission);
        let if_full = self.if_full(max_hand_backs, &submission, index, &agent, task_load);
        let task = self.jobs.get(&submission).and_then(|job| job.task(index));
        let key = BatchKey {
            agent,
            crashes: task.map_or(0, |task| task.crashes),
            submission,
            if_full,
        };
        self.place(now, lane, key, index, task_load, &mut pass.batches);
        Next::Went
    }

    /// The first submission of a lane with a task that does not wait, and that task; no task if the submission
    /// has none left to place.
    fn next_pending(
        &self,
        lane: &Lane,
        pass: &mut Pass,
    ) -> Option<(SubmissionId, Option<TaskIndex>)> {
        let first = pass.firsts.get(lane).cloned();
        for entry in self.queue.submissions(lane, first.as_ref()) {
            let (_, id) = entry;
            let job = self.jobs.get(id).filter(|job| !job.pending.is_empty());
            let index = job.and_then(|job| pass.waiting.next_pending(id, job));
            if job.is_some() && index.is_none() {
                continue;
            }
            let next = (id.clone(), index);
            if first.as_ref() != Some(entry) && !pass.waiting.is_empty() {
                pass.firsts.insert(lane.clone(), entry.clone());
            }
            return Some(next);
        }
        None
    }

    /// Lets the agent hand the task back only if the target seemed to have room; if not, no other target
    /// is better and the task may as well be queued there.
    fn if_full(
        &self,
        max_hand_backs: u32,
        submission: &SubmissionId,
        index: TaskIndex,
        agent: &AgentId,
        task_load: f64,
    ) -> IfFull {
        let task = self.jobs.get(submission).and_then(|job| job.task(index));
        let may_hand_back = task.is_some_and(|task| task.hand_backs < max_hand_backs);
        let view = self.agents.get(agent);
        let seems_free = view.is_some_and(|view| view.fits_now(task_load));
        if may_hand_back && seems_free {
            IfFull::HandBack
        } else {
            IfFull::Queue
        }
    }

    /// Fraction of the capacity of the agent's target that one task of the submission takes.
    fn task_load_on(&self, agent: &AgentId, submission: &SubmissionId) -> f64 {
        let offer = self.agents.get(agent).and_then(AgentView::offer);
        let job = self.jobs.get(submission);
        offer.zip(job).map_or(0.0, |(offer, job)| {
            offer.fraction_per_task(&job.terms.demand)
        })
    }

    /// Whether the agent has reported so recently that its target's state can be relied on.
    pub(super) fn is_fresh(&self, now: Moment, view: &AgentView) -> bool {
        view.is_session_open && now < view.last_heard_at + self.identity.lease.fresh_ms
    }

    fn place(
        &mut self,
        now: Moment,
        lane: &Lane,
        key: BatchKey,
        index: TaskIndex,
        task_load: f64,
        batches: &mut Batches,
    ) {
        let (agent, submission) = (&key.agent, &key.submission);
        let charged_us = self.totals.mean_run_us();
        let expected_run_us = self.expected_run_on(agent, submission);
        let saved_us = self.saved_near_us(agent, submission, expected_run_us);
        let Some(job) = self.jobs.get_mut(submission) else {
            return;
        };
        job.pending.retain(|pending| *pending != index);
        let is_last = job.pending.is_empty();
        let outstanding = OutstandingTask {
            load: task_load,
            expected_run_us,
            priority: job.terms.priority,
            is_suspect: key.crashes > 0,
            placed_at: now,
            is_withdrawn: false,
        };
        let Some(task) = job.task_mut(index) else {
            return;
        };
        task.state = TaskState::Placed {
            agent: agent.clone(),
            charged_us,
        };
        let waits_since = task.waits_since.take();
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
            view.add_outstanding(task, outstanding);
        }
        self.shares.charge(&lane.group, charged_us);
        self.queue.remove_tasks(&lane.group, 1);
        if is_last {
            self.queue.remove(lane, submission);
        }
        let batch = batches.entry(key).or_default();
        batch.tasks.push(placed);
        if let Some(since) = waits_since {
            batch.waited_tasks += 1;
            batch.waited_us += now.micros_since(since);
            batch.saved_us += saved_us;
        }
    }

    fn send_batches(&mut self, now: Moment, batches: Batches, out: &mut Vec<EntryAction>) {
        let mut by_agent: BTreeMap<AgentId, Vec<EntryItem>> = BTreeMap::new();
        for (key, batch) in batches {
            if let Some(placed) = self.near_placement(&key, &batch) {
                out.push(EntryAction::Observe(Observation::NearDataPlaced(placed)));
            }
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
                unfinished_tasks: job.unfinished,
                if_full: key.if_full,
                terms: job.terms.clone(),
                origin: Origin {
                    job: Some(job.name.clone()),
                    queue: job.queue.clone(),
                    crashes: key.crashes,
                },
                tasks: batch.tasks,
            };
            if let Some(view) = self.agents.get(&key.agent) {
                out.push(EntryAction::Observe(tasks_placed(
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
                self.send_items(connection, items, out);
            }
        }
    }

    /// Run time that a task placed near its data is expected to save.
    fn saved_near_us(&self, agent: &AgentId, submission: &SubmissionId, run_us: f64) -> f64 {
        let offer = self.agents.get(agent).and_then(AgentView::offer);
        let Some((job, offer)) = self.jobs.get(submission).zip(offer) else {
            return 0.0;
        };
        let is_near = job.terms.near.is_some() && offer.has_label(job.terms.near.as_ref());
        let far_factor = self.far_factor.factor(self.configured_far_factor());
        if is_near {
            (far_factor - 1.0) * run_us
        } else {
            0.0
        }
    }

    fn near_placement(&self, key: &BatchKey, batch: &Batch) -> Option<NearPlacement> {
        let job = self.jobs.get(&key.submission)?;
        let near = job.terms.near.clone()?;
        let offer = self.agents.get(&key.agent).and_then(AgentView::offer);
        Some(NearPlacement {
            submission: key.submission.clone(),
            agent: key.agent.clone(),
            is_near: offer.is_some_and(|offer| offer.has_label(Some(&near))),
            near,
            tasks: batch.tasks.len() as u64,
            waited_tasks: batch.waited_tasks,
            waited_ms: Millis::new(batch.waited_us / MICROS_PER_MILLI),
            saved_ms: millis_from_micros(batch.saved_us),
        })
    }

    /// Requests a report from agents that offer the lane's service but have been silent for too long to
    /// be given tasks.
    fn probe_silent(&mut self, now: Moment, lane: &Lane, out: &mut Vec<EntryAction>) {
        let probe_interval_ms = self.identity.lease.busy_renew_ms;
        let needs_probe = |view: &AgentView| {
            let is_due = view
                .probed_at
                .is_none_or(|at| now >= at + probe_interval_ms);
            view.is_session_open
                && view.offers(&lane.service)
                && !self.is_fresh(now, view)
                && is_due
        };
        let silent: Vec<_> = self
            .agents
            .values()
            .filter(|view| needs_probe(view))
            .filter_map(|view| view.connection)
            .collect();
        for connection in silent {
            let agent = self.connections.get(&connection);
            if let Some(view) = agent.and_then(|agent| self.agents.get_mut(agent)) {
                view.probed_at = Some(now);
            }
            self.send_items(connection, vec![EntryItem::Probe], out);
        }
    }
}

fn tasks_placed(
    now: Moment,
    view: &AgentView,
    agent: &AgentId,
    placement: &Placement,
) -> Observation {
    let tasks = placement.tasks.iter();
    Observation::TasksPlaced {
        submission: placement.submission.clone(),
        agent: agent.clone(),
        tasks: tasks.map(|placed| (placed.task, placed.attempt)).collect(),
        load_permille: to_permille(view.load()),
        hint_age_ms: now.since(view.hint_received_at),
        age_ms: placement.age_ms,
    }
}

impl Constraints {
    /// Whether another task may be placed on a target; `placed_there` counts the tasks of the submission
    /// that are placed there already.
    pub(super) fn allow(self, placed_there: impl FnOnce() -> u32) -> bool {
        self.max_per_target.is_none_or(|max| placed_there() < max)
    }
}
