//! Containment of queues whose tasks crash targets: each gets some targets to itself, and leaves the others to the
//! other queues.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::TaskIndex;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;
use dfs_wire::session::EntryItem;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::TargetCrash;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::Submission;
use super::job::Job;
use crate::crashes::TaskKey;
use crate::crashes::Verdict;
use crate::membership::hash_pair;
use crate::order::rank;

/// Time over which the work of the queues is measured.
const WORK_WINDOW_MS: Millis = Millis::new(10_000);

/// Targets of contained queues.
#[derive(Debug, Default)]
pub(super) struct Containment {
    parts: BTreeMap<QueueName, Part>,
}

/// Part of the targets of a service.
#[derive(Debug)]
struct Part {
    /// Fraction of the work of all queues that the contained one had; `None` if no work was measured.
    work_fraction: Option<f64>,
    /// Agents of the targets, up or down. Empty if they can't be told or there are too few; then the tasks may
    /// use any target.
    agents: BTreeSet<AgentId>,
}

impl Containment {
    pub fn contains_queue(&self, queue: &QueueName) -> bool {
        self.parts.contains_key(queue)
    }

    /// Whether tasks of a queue may be placed at an agent.
    pub fn allows(&self, queue: Option<&QueueName>, agent: &AgentId) -> bool {
        let own_part = queue.and_then(|queue| self.parts.get(queue));
        match own_part.filter(|part| !part.agents.is_empty()) {
            Some(part) => part.agents.contains(agent),
            None => !self.parts.values().any(|part| part.agents.contains(agent)),
        }
    }
}

/// Work that the runs of each queue have done lately, in microseconds of a whole target.
#[derive(Debug, Default)]
pub(super) struct QueueWork {
    window_started_at: Moment,
    current: BTreeMap<QueueName, f64>,
    previous: BTreeMap<QueueName, f64>,
}

impl QueueWork {
    fn record(&mut self, now: Moment, queue: &QueueName, work: f64) {
        if now >= self.window_started_at + WORK_WINDOW_MS {
            self.window_started_at = now;
            self.previous = std::mem::take(&mut self.current);
        }
        *self.current.entry(queue.clone()).or_default() += work;
    }

    /// Fraction of the work of all queues that one queue has done; `None` if none has done any. It is rounded up to
    /// a power of two, so that entries that measure slightly different fractions choose the same targets.
    fn fraction(&self, queue: &QueueName) -> Option<f64> {
        let windows = || [&self.current, &self.previous].into_iter();
        let all: f64 = windows().flat_map(BTreeMap::values).sum();
        let own: f64 = windows().filter_map(|window| window.get(queue)).sum();
        (all > 0.0).then(|| (own / all).log2().ceil().exp2())
    }
}

impl Entry {
    pub(super) fn on_crashes(
        &mut self,
        now: Moment,
        agent: &AgentId,
        crashes: &[TargetCrash],
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let (incarnation, is_down) = (view.incarnation, !view.is_up());
        for crash in crashes {
            let verdict = self
                .crashes
                .record_crash(now, agent, incarnation, crash, is_down);
            if !verdict.accused.is_empty() {
                out.push(EntryAction::Observe(Observation::CrashReported {
                    agent: agent.clone(),
                    accused: verdict.accused.len(),
                    age_ms: crash.age_ms,
                }));
            }
            self.apply_verdict(&verdict, out);
        }
        self.update_containment();
    }

    fn apply_verdict(&mut self, verdict: &Verdict, out: &mut Vec<EntryAction>) {
        if *verdict == Verdict::default() {
            return;
        }
        let accused: BTreeMap<_, _> = verdict.accused.iter().cloned().collect();
        for job in self.jobs.values_mut() {
            let is_of_job = |key: &&TaskKey| key.job == job.name;
            let keys: Vec<_> = accused.keys().filter(is_of_job).collect();
            for key in keys {
                if let Some(task) = job.task_mut(key.task) {
                    task.crashes = task.crashes.max(accused[key]);
                }
            }
        }
        for queue in &verdict.contained {
            self.contain(queue, out);
        }
        for queue in &verdict.released {
            self.release(queue, out);
        }
        for (key, crashes) in &verdict.given_up {
            self.pass_on_given_up(key, *crashes, out);
            self.give_up(key, *crashes, out);
        }
    }

    /// Records tasks that another entry has given up and that an agent has returned for it.
    pub(super) fn on_given_up(
        &mut self,
        now: Moment,
        agent: &AgentId,
        tasks: &[GivenUpTask],
        out: &mut Vec<EntryAction>,
    ) {
        for task in tasks {
            if let Some(key) = self.crashes.record_given_up(now, agent, task) {
                self.give_up(&key, task.crashes, out);
            }
        }
    }

    fn give_up(&mut self, key: &TaskKey, crashes: u32, out: &mut Vec<EntryAction>) {
        out.push(EntryAction::Observe(Observation::TaskGivenUp {
            task: key.clone(),
            crashes,
        }));
        self.fail_given_up(key, crashes, out);
    }

    /// Tells all agents of a task that was given up, if its job is here: an entry to which the caller submits the job
    /// again may have no session to the agents that saw the crashes.
    fn pass_on_given_up(&mut self, key: &TaskKey, crashes: u32, out: &mut Vec<EntryAction>) {
        if !self.jobs.values().any(|job| job.name == key.job) {
            return;
        }
        let task = GivenUpTask {
            job: key.job.clone(),
            task: key.task,
            crashes,
            is_confirmed: self.crashes.is_confirmed(key),
        };
        let connections: Vec<_> = self.connections.keys().copied().collect();
        for connection in connections {
            self.send_items(
                connection,
                vec![EntryItem::GivenUp(vec![task.clone()])],
                out,
            );
        }
    }

    fn fail_given_up(&mut self, key: &TaskKey, crashes: u32, out: &mut Vec<EntryAction>) {
        let of_job = self.jobs.iter().filter(|(_, job)| job.name == key.job);
        let submissions: Vec<_> = of_job.map(|(id, _)| id.clone()).collect();
        for submission in submissions {
            let message = given_up_message(key, crashes);
            let reason = self.given_up_reason(key);
            self.fail(&submission, reason, message, Vec::new(), out);
        }
    }

    /// Whether it is about to be known that a task of the job must not run again.
    pub(super) fn is_judged_soon(&self, submission: &Submission) -> bool {
        let job = submission.job.as_ref();
        job.is_some_and(|job| self.crashes.is_job_pending(job))
    }

    /// Answer to a job that is submitted again after one of its tasks was given up.
    pub(super) fn given_up_answer(&self, submission: &Submission) -> Option<Answer> {
        let job = submission.job.as_ref()?;
        let (task, crashes) = self.crashes.given_up_task(job)?;
        let key = TaskKey {
            job: job.clone(),
            task,
        };
        Some(Answer {
            submission: Some(submission.id.clone()),
            outcome: Outcome::Failed,
            results: Vec::new(),
            failure: Some(Failure {
                reason: self.given_up_reason(&key),
                message: given_up_message(&key, crashes),
                not_run: false,
                may_have_run: vec![task],
                faults: Vec::new(),
                retry_after_ms: None,
            }),
        })
    }

    /// A task is known to have failed only if it has certainly run on the targets that crashed.
    fn given_up_reason(&self, key: &TaskKey) -> FailureReason {
        if self.crashes.is_confirmed(key) {
            FailureReason::TaskFailed
        } else {
            FailureReason::OutcomeUnknown
        }
    }

    /// Applies what is known of crashes to a job that was just submitted, perhaps not for the first time.
    pub(super) fn apply_crashes(&self, job: &mut Job) {
        job.is_contained = job
            .queue
            .as_ref()
            .is_some_and(|queue| self.containment.contains_queue(queue));
        if self.crashes.is_empty() {
            return;
        }
        let name = job.name.clone();
        for (index, task) in (0..).zip(&mut job.tasks) {
            let key = TaskKey {
                job: name.clone(),
                task: TaskIndex::new(index),
            };
            task.crashes = self.crashes.crashes(&key);
        }
    }

    /// Records the end of a run for its queue, which may release it.
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    pub(super) fn record_queue_run(
        &mut self,
        now: Moment,
        load: f64,
        result: &TaskResult,
        out: &mut Vec<EntryAction>,
    ) {
        let job = self.jobs.get(&result.task.submission);
        let Some(queue) = job.and_then(|job| job.queue.clone()) else {
            return;
        };
        self.queue_work
            .record(now, &queue, load * result.run_us as f64);
        let is_done = matches!(result.outcome, TaskOutcome::Done(_));
        if is_done && self.crashes.record_success(&queue) {
            self.release(&queue, out);
        }
    }

    pub(super) fn judge_crashes(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let verdict = self.crashes.judge(now);
        self.apply_verdict(&verdict, out);
    }

    /// When it is known whether the task, whose run ended with its target, may run again; `None` if it may.
    pub(super) fn judged_at(&self, task: &TaskRef) -> Option<Moment> {
        let job = self.jobs.get(&task.submission)?;
        self.crashes.judged_at(&TaskKey {
            job: job.name.clone(),
            task: task.task,
        })
    }

    pub(super) fn expire_crashes(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        for queue in self.crashes.expire(now) {
            self.release(&queue, out);
        }
    }

    fn contain(&mut self, queue: &QueueName, out: &mut Vec<EntryAction>) {
        let part = Part {
            work_fraction: self.queue_work.fraction(queue),
            agents: BTreeSet::new(),
        };
        self.containment.parts.insert(queue.clone(), part);
        self.update_containment();
        self.move_jobs(queue, true);
        self.withdraw_suspects(queue, out);
        let targets = self.containment.parts[queue].agents.len();
        let service = self.service_of(queue);
        let service_targets = service.map_or(0, |service| self.agents_of(&service).len());
        out.push(EntryAction::Observe(Observation::QueueContained {
            queue: queue.clone(),
            targets,
            service_targets,
        }));
    }

    /// Withdraws tasks of a contained queue under which a target has crashed from targets that it may no longer use.
    fn withdraw_suspects(&mut self, queue: &QueueName, out: &mut Vec<EntryAction>) {
        let mut withdrawn = Vec::new();
        for (agent, view) in &self.agents {
            let Some(connection) = view.connection else {
                continue;
            };
            if self.containment.allows(Some(queue), agent) {
                continue;
            }
            let is_of_queue = |task: &TaskRef| {
                let job = self.jobs.get(&task.submission);
                job.is_some_and(|job| job.queue.as_ref() == Some(queue))
            };
            let suspects = view.outstanding.iter().filter(|(_, task)| task.is_suspect);
            let suspects = suspects.map(|(task, _)| task).filter(|t| is_of_queue(t));
            let tasks: Vec<_> = suspects.cloned().collect();
            if !tasks.is_empty() {
                withdrawn.push((connection, tasks));
            }
        }
        for (connection, tasks) in withdrawn {
            self.send_items(connection, vec![EntryItem::Withdraw(tasks)], out);
        }
    }

    fn release(&mut self, queue: &QueueName, out: &mut Vec<EntryAction>) {
        if self.containment.parts.remove(queue).is_none() {
            return;
        }
        self.update_containment();
        self.move_jobs(queue, false);
        out.push(EntryAction::Observe(Observation::QueueReleased {
            queue: queue.clone(),
        }));
    }

    /// Moves the queued submissions of a queue into the lane of contained ones, or back.
    fn move_jobs(&mut self, queue: &QueueName, is_contained: bool) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let of_queue = self.jobs.iter_mut();
        let of_queue = of_queue.filter(|(_, job)| job.queue.as_ref() == Some(queue));
        for (submission, job) in of_queue {
            let is_queued = self.queue.contains(submission);
            self.queue.remove(&job.lane(), submission);
            job.is_contained = is_contained;
            if is_queued {
                let rank = rank(&config.rules.placement, job.submitted_at, job.unfinished);
                self.queue.insert(job.lane(), submission, rank);
            }
        }
    }

    /// Chooses the targets of each contained queue.
    pub(super) fn update_containment(&mut self) {
        let mut parts = std::mem::take(&mut self.containment.parts);
        let mut taken = BTreeSet::new();
        for (queue, part) in &mut parts {
            part.agents = self.choose_part(queue, part.work_fraction, &taken);
            taken.extend(part.agents.iter().cloned());
        }
        self.containment.parts = parts;
    }

    /// As many targets as the queue's work takes, but no more than the ejection of targets may take from a service,
    /// and never the last one. Only those that have crashed under its tasks are taken, so that the other queues keep
    /// what is up, and those that have crashed most often first, so that the choice stays. Without any, or among
    /// equals, rendezvous hashing lets all entries choose the same.
    fn choose_part(
        &self,
        queue: &QueueName,
        work_fraction: Option<f64>,
        taken: &BTreeSet<AgentId>,
    ) -> BTreeSet<AgentId> {
        let Some((config, service)) = self.config.as_deref().zip(self.service_of(queue)) else {
            return BTreeSet::new();
        };
        let mut agents = self.agents_of(&service);
        let limit = fraction_of(agents.len(), config.rules.ejection.max_part).floor();
        let needed =
            work_fraction.map_or(limit, |fraction| fraction_of(agents.len(), fraction).ceil());
        let size = needed.clamp(1.0, limit.max(1.0));
        agents.retain(|agent| !taken.contains(*agent));
        let crashes = self.crashes.crashed_targets(queue);
        let crash_count = |agent: &AgentId| crashes.get(agent).copied().unwrap_or_default();
        agents.sort_by_cached_key(|agent| Reverse((crash_count(agent), hash_pair(queue, agent))));
        agents.pop();
        if agents.iter().any(|agent| crash_count(agent) > 0) {
            agents.retain(|agent| crash_count(agent) > 0);
        }
        let ranked = agents.into_iter().enumerate();
        ranked
            .take_while(|(index, _)| fraction_of(*index, 1.0) < size)
            .map(|(_, agent)| agent.clone())
            .collect()
    }

    /// Agents whose targets offer a service, or did before they went down, other than for an evacuation.
    fn agents_of(&self, service: &ServiceName) -> Vec<&AgentId> {
        let agents = self.agents.iter();
        agents
            .filter(|(_, view)| view.last_offered(service) && !view.is_evacuated)
            .map(|(agent, _)| agent)
            .collect()
    }

    fn service_of(&self, queue: &QueueName) -> Option<ServiceName> {
        let queues = self.config.as_deref()?.inventory.queues.iter();
        let mut named = queues.filter(|candidate| candidate.queue == *queue);
        let configured = named.next().map(|queue| queue.service.clone());
        configured.or_else(|| {
            // The queue was removed from the configuration, and its submissions go on.
            let mut jobs = self.jobs.values();
            let job = jobs.find(|job| job.queue.as_ref() == Some(queue))?;
            Some(job.service.clone())
        })
    }
}

fn given_up_message(key: &TaskKey, crashes: u32) -> String {
    format!(
        "task {} crashed {crashes} targets that ran it: it is not run again",
        key.task
    )
}

#[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 targets")]
fn fraction_of(count: usize, fraction: f64) -> f64 {
    count as f64 * fraction
}
