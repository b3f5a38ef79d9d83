//! Choice of the target for one task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Label;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use rand::Rng;

use super::Entry;
use super::admit::may_use;
use super::expect::micros;
use super::job::Job;
use super::job::Task;
use super::queue::Lane;
use super::view::AgentView;
use crate::estimate::Busy;
use crate::estimate::Place;
use crate::estimate::Stakes;
use crate::estimate::is_notably_longer;
use crate::estimate::should_wait;
use crate::estimate::weigh;
use crate::placement::Candidate;
use crate::placement::pick;

/// Number of agents sampled for one task where there are more; at 95% load, one of 48 has a free slot
/// almost certainly.
const SAMPLE_SIZE: usize = 48;

/// Added to the load of a slow target so that it is chosen last; far above any real load.
const SLOW_LOAD_PENALTY: f64 = 1e6;

/// Outcome of the choice of a target.
pub(super) enum Choice {
    /// The task is placed on this agent.
    Agent(AgentId),
    /// The task waits for room on busy targets, though others have room.
    Wait {
        /// Targets that it waits for.
        key: WaitKey,
        /// Load that it takes there.
        load: f64,
    },
    /// No target has room.
    Full,
}

/// Targets for which tasks wait while others have room.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WaitKey {
    /// Targets near the data of the task, which have this label.
    Near(Label),
    /// Targets that are faster than those with room.
    Faster,
}

/// Tasks that wait in the current pass.
#[derive(Debug)]
pub(super) struct Waiting {
    tasks: BTreeMap<SubmissionId, BTreeSet<TaskIndex>>,
    count: u32,
    /// Load of the tasks that wait for the same targets.
    loads: BTreeMap<WaitKey, f64>,
    /// Load of the queued tasks that must run on targets with a label.
    required: BTreeMap<Label, f64>,
}

impl Waiting {
    pub const fn new(required: BTreeMap<Label, f64>) -> Self {
        Self {
            tasks: BTreeMap::new(),
            count: 0,
            loads: BTreeMap::new(),
            required,
        }
    }

    pub fn add(&mut self, submission: SubmissionId, task: TaskIndex, key: WaitKey, load: f64) {
        self.tasks.entry(submission).or_default().insert(task);
        self.count += 1;
        *self.loads.entry(key).or_default() += load;
    }

    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The first task of a job that is to be placed and does not wait.
    pub fn next_pending(&self, submission: &SubmissionId, job: &Job) -> Option<TaskIndex> {
        let Some(waiting) = self.tasks.get(submission) else {
            return job.pending.front().copied();
        };
        let mut pending = job.pending.iter().copied();
        pending.find(|index| !waiting.contains(index))
    }

    /// Load for which the targets are awaited already.
    fn load(&self, key: &WaitKey) -> f64 {
        let waiting = self.loads.get(key).copied().unwrap_or_default();
        let required = match key {
            WaitKey::Near(label) => self.required.get(label).copied(),
            WaitKey::Faster => None,
        };
        waiting + required.unwrap_or_default()
    }

    /// Whether tasks wait that must run on the targets near the data of a job.
    fn is_near_contended(&self, job: &Job) -> bool {
        let near = job.terms.near.as_ref();
        near.is_some_and(|near| self.required.contains_key(near))
    }
}

/// A target that can run a task.
#[derive(Clone)]
struct Suitable<'a> {
    candidate: Candidate<&'a AgentId>,
    place: Place,
    has_room: bool,
}

/// Whether targets without room for the task count as suitable, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    Needed,
    Optional,
}

impl Entry {
    pub(super) fn choose_agent(
        &mut self,
        now: Moment,
        config: &Config,
        lane: &Lane,
        submission: &SubmissionId,
        index: TaskIndex,
        waiting: &Waiting,
    ) -> Choice {
        let sample = self.sample_agents();
        let Some(job) = self.jobs.get(submission) else {
            return Choice::Full;
        };
        let Some(task) = job.task(index) else {
            return Choice::Full;
        };
        let sampled = || {
            sample
                .iter()
                .chain(self.near_agents_beyond(&sample, job))
                .filter_map(|agent| self.agents.get_key_value(agent))
        };
        let mut with_room = self.suitable(now, config, lane, job, Room::Needed, sampled());
        if with_room.is_empty() {
            let all = self.agents.iter();
            with_room = self.suitable(now, config, lane, job, Room::Needed, all);
        }
        let is_avoided = |agent: &AgentId| {
            Some(agent) == task.avoid_agent.as_ref() || task.refused_by.contains(agent)
        };
        let eligible = prefer(with_room, |agent| !is_avoided(agent));
        let is_suspect = task.crashes > 0;
        let has_suspect =
            |agent: &AgentId| self.agents.get(agent).is_some_and(AgentView::has_suspect);
        let eligible = prefer(eligible, |agent| !is_suspect || !has_suspect(agent));
        if eligible.is_empty() {
            return Choice::Full;
        }
        let left_us = job
            .objective_at
            .filter(|_| !job.is_demoted)
            .map(|at| micros(at.since(now)));
        if !is_suspect && may_wait(job, &eligible, left_us) {
            let suitable = self.suitable(now, config, lane, job, Room::Optional, sampled());
            let choice =
                self.wait_for_better(now, (job, task), &suitable, &eligible, left_us, waiting);
            if let Some(choice) = choice {
                return choice;
            }
        }
        let places: Vec<_> = eligible
            .into_iter()
            .map(|target| (target.candidate, target.place))
            .collect();
        let candidates = weigh(&places, left_us, waiting.is_near_contended(job));
        let policy = config.rules.placement.policy;
        // The candidates borrow from the entry.
        let mut random = self.random.clone();
        let picked = pick(policy, &candidates, &mut random).cloned();
        self.random = random;
        picked.map_or(Choice::Full, Choice::Agent)
    }

    /// The agents whose targets can run a task of the job.
    fn suitable<'a>(
        &'a self,
        now: Moment,
        config: &Config,
        lane: &Lane,
        job: &Job,
        room: Room,
        agents: impl Iterator<Item = (&'a AgentId, &'a AgentView)>,
    ) -> Vec<Suitable<'a>> {
        let group = config.group(&lane.group);
        let required = config
            .service(&lane.service)
            .map(|service| service.requires);
        let Some((group, required)) = group.zip(required) else {
            return Vec::new();
        };
        let max_load = config.rules.placement.max_load;
        let typical_run_us = self.typical_run_of(job);
        let mean_run_us = self.totals.mean_run_us();
        let suitable = |(agent, view): (&'a AgentId, &'a AgentView)| {
            let offer = view.offer()?;
            let is_suitable = may_use(group, &offer.target)
                && offer.resources.covers(&required)
                && offer.has_label(job.terms.label.as_ref())
                && job.constraints.allow(|| job.placed_on(agent));
            let task_load = offer.fraction_per_task(&job.terms.demand);
            let load = view.load() + task_load;
            let has_room = view.has_window_left() && load <= max_load;
            if room == Room::Needed && !has_room {
                return None;
            }
            let is_allowed = self.containment.allows(job.queue.as_ref(), agent);
            let can_take = is_suitable
                && is_allowed
                && view.offers(&lane.service)
                && task_load <= 1.0
                && self.is_fresh(now, view)
                && !self.is_blocked_by_results(now, agent, view);
            can_take.then(|| {
                let relative_run_time = view.speed_class.relative_run_time();
                let far_factor = self.far_factor_on(&job.terms, offer);
                Suitable {
                    candidate: Candidate {
                        id: agent,
                        load: self.expected_load(now, agent, view, task_load),
                    },
                    place: Place {
                        load,
                        task_load,
                        release_rate: view.release_rate(mean_run_us * relative_run_time),
                        run_us: typical_run_us * relative_run_time * far_factor,
                        far_factor,
                    },
                    has_room,
                }
            })
        };
        agents.filter_map(suitable).collect()
    }

    /// Lets a task wait where targets near its data, or faster ones, have no room and others do, if that pays off.
    fn wait_for_better(
        &self,
        now: Moment,
        (job, task): (&Job, &Task),
        suitable: &[Suitable],
        eligible: &[Suitable],
        left_us: Option<f64>,
        waiting: &Waiting,
    ) -> Option<Choice> {
        let by_run_time = |a: &&Suitable, b: &&Suitable| a.place.run_us.total_cmp(&b.place.run_us);
        let best = eligible.iter().min_by(by_run_time)?;
        let (run_us, is_near) = (best.place.run_us, best.place.far_factor <= 1.0);
        let better = |is_included: &dyn Fn(&Place) -> bool| {
            let is_better = |target: &&Suitable| {
                let place = &target.place;
                !target.has_room && is_notably_longer(run_us, place.run_us) && is_included(place)
            };
            suitable.iter().filter(is_better).collect::<Vec<_>>()
        };
        if let Some(near) = job.terms.near.as_ref().filter(|_| !is_near) {
            let stakes = Stakes {
                left_us,
                delayed_fraction: self.delayed_fraction(suitable, waiting),
                costs_capacity: true,
            };
            let near_targets = better(&|place| place.far_factor <= 1.0);
            let key = WaitKey::Near(near.clone());
            if let Some(wait_ms) = self.fixed_near_wait_ms {
                let is_over = task.waits_since.is_some_and(|since| now >= since + wait_ms);
                let load = mean(&near_targets, |place| place.task_load);
                let waits = !near_targets.is_empty() && !is_over;
                return waits.then_some(Choice::Wait { key, load });
            }
            let choice = self.wait_at(key, run_us, suitable.len(), &near_targets, stakes, waiting);
            if choice.is_some() {
                return choice;
            }
        }
        let stakes = Stakes {
            left_us,
            delayed_fraction: 0.0,
            costs_capacity: false,
        };
        let faster = better(&|place| is_near || place.far_factor > 1.0);
        self.wait_at(
            WaitKey::Faster,
            run_us,
            suitable.len(),
            &faster,
            stakes,
            waiting,
        )
    }

    fn wait_at(
        &self,
        key: WaitKey,
        run_us: f64,
        sampled: usize,
        targets: &[&Suitable],
        stakes: Stakes,
        waiting: &Waiting,
    ) -> Option<Choice> {
        if targets.is_empty() {
            return None;
        }
        let load = mean(targets, |place| place.task_load);
        // Near targets are all known; of the others there may be a sample.
        let all_per_sampled = match key {
            WaitKey::Near(_) => 1.0,
            WaitKey::Faster => (to_f64(self.agent_ids.len()) / to_f64(sampled.max(1))).max(1.0),
        };
        let busy = Busy {
            release_rate: self.release_rate_of(targets) * all_per_sampled,
            missing: waiting.load(&key) + load,
            run_us: mean(targets, |place| place.run_us),
        };
        should_wait(run_us, &busy, &stakes).then_some(Choice::Wait { key, load })
    }

    /// Fraction of a longer run that delays other tasks: all of it if others are queued here, or else by how
    /// much of the pool is full.
    fn delayed_fraction(&self, suitable: &[Suitable], waiting: &Waiting) -> f64 {
        if self.queue.task_count() > waiting.count.saturating_add(1) {
            return 1.0;
        }
        let full = suitable.iter().filter(|target| !target.has_room).count();
        to_f64(full) / to_f64(suitable.len().max(1))
    }

    /// The agents near the data of a job that are not in a sample.
    fn near_agents_beyond<'a>(
        &'a self,
        sample: &[AgentId],
        job: &Job,
    ) -> impl Iterator<Item = &'a AgentId> {
        let near = job.terms.near.as_ref();
        let near = near.and_then(|near| self.labels.get(near));
        let sampled: BTreeSet<_> = near
            .map(|_| sample.iter().cloned().collect())
            .unwrap_or_default();
        near.into_iter()
            .flatten()
            .filter(move |agent| !sampled.contains(*agent))
    }

    /// Rate at which full targets release load for this entry.
    fn release_rate_of(&self, targets: &[&Suitable]) -> f64 {
        let rate: f64 = targets.iter().map(|target| target.place.release_rate).sum();
        let views = targets
            .iter()
            .filter_map(|target| self.agents.get(target.candidate.id));
        let (own, others) = views.fold((0.0, 0.0), |(own, others), view| {
            (own + view.own_load, others + view.load_from_others())
        });
        rate * self.part_of_released(own, others)
    }

    /// Whether the agent's target is ejected, is on probation and already has its one task, or has returned from an
    /// evacuation and already has as many tasks as its results allow.
    fn is_blocked_by_results(&self, now: Moment, agent: &AgentId, view: &AgentView) -> bool {
        let is_on_probation = || self.ejection.is_on_probation(agent, now);
        let is_at_return_limit = || self.returning.left(agent, view.outstanding_tasks()) == Some(0);
        self.ejection.is_ejected(agent, now)
            || is_at_return_limit()
            || (view.outstanding_tasks() > 0 && is_on_probation())
    }

    /// All agents, or a random sample of [`SAMPLE_SIZE`] where there are more.
    fn sample_agents(&mut self) -> Vec<AgentId> {
        if self.agent_ids.len() <= SAMPLE_SIZE {
            return self.agent_ids.clone();
        }
        let random = &mut self.random;
        let random_agent = || self.agent_ids[random.random_range(0..self.agent_ids.len())].clone();
        std::iter::repeat_with(random_agent)
            .take(SAMPLE_SIZE)
            .collect()
    }

    /// Load by which targets are compared: that with a further task, plus a penalty if the target is slow.
    fn expected_load(&self, now: Moment, agent: &AgentId, view: &AgentView, task_load: f64) -> f64 {
        let is_slow = self.speeds.is_slow(agent, view.outstanding_tasks(), now);
        view.load() + task_load + if is_slow { SLOW_LOAD_PENALTY } else { 0.0 }
    }
}

/// Whether waiting for a target without room may pay off: one near the task's data, or a faster one if the task would
/// be late on those with room. Under load this spares most tasks a look at all targets.
fn may_wait(job: &Job, eligible: &[Suitable], left_us: Option<f64>) -> bool {
    let run_times = eligible.iter().map(|target| target.place.run_us);
    let shortest_us = run_times.fold(f64::INFINITY, f64::min);
    job.terms.near.is_some() || left_us.is_some_and(|left_us| shortest_us > left_us)
}

/// The targets whose agents meet a condition, or all if none does.
fn prefer(all: Vec<Suitable<'_>>, is_preferred: impl Fn(&AgentId) -> bool) -> Vec<Suitable<'_>> {
    let is_preferred = |target: &&Suitable| is_preferred(target.candidate.id);
    let preferred: Vec<_> = all.iter().filter(is_preferred).cloned().collect();
    if preferred.is_empty() { all } else { preferred }
}

fn mean(targets: &[&Suitable], value: impl Fn(&Place) -> f64) -> f64 {
    let sum: f64 = targets.iter().map(|target| value(&target.place)).sum();
    sum / to_f64(targets.len().max(1))
}

#[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 targets")]
const fn to_f64(count: usize) -> f64 {
    count as f64
}
