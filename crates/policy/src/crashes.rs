//! Tasks that crash the targets that run them, and the queues that such tasks come from.
//!
//! A crash accuses every task that ran on the target, and agents run accused tasks one at a time. A further crash
//! therefore shows which of them caused it, unless other targets crash at the same time, as they do when a rack loses
//! power. That task is given up, and its queue is contained, which means that its tasks may use only a part of the
//! targets, and other tasks only the rest. The queue is contained at once and the task judged a moment later, since
//! only the first can be undone. A contained queue is released once so many of its runs have ended well that its tasks
//! no longer crash targets as often as before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use dfs_ids::AgentId;
use dfs_ids::Incarnation;
use dfs_ids::JobName;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::TaskIndex;
use dfs_wire::session::CrashedRun;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::TargetCrash;

/// Crashes under a task after which it is given up if it was the only accused one on the target.
const CONVICTING_CRASHES: u32 = 2;
/// Crashes under a task after which it is given up in any case. Callers are promised that it does not start
/// three times more after the third.
const MAX_CRASHES: u32 = 4;
/// A task that crashes its targets does so after the same work. Targets differ in speed by less than this factor, and
/// agents notice a crash within the slack.
const MAX_SPEED_RATIO: u64 = 2;
const NOTICE_SLACK_MS: Millis = Millis::new(10);
/// Longest time between the reports of crashes that have one cause. Agents notice a broken connection at once.
const COMMON_CAUSE_MS: Millis = Millis::new(25);
/// Time for which a queue is contained on a first suspicion. Tasks that crash targets mostly confirm it sooner. Each
/// further suspicion lasts twice as long as the one before: several such tasks at a time look like a common cause.
const SUSPICION_MS: Millis = Millis::new(500);
/// Time for which a crash is held against a task or a queue.
const MEMORY_MS: Millis = Millis::new(60_000);
/// An event that was not seen in so many times its mean interval has become rarer with 95% confidence.
const CLEAN_RUNS_PER_INTERVAL: u32 = 3;
/// Least number of runs taken for the mean interval between two crashes; from fewer none can be told.
const MIN_INTERVAL_RUNS: u32 = 20;
/// Weight of the latest outage in the moving mean.
const OUTAGE_WEIGHT: f64 = 0.5;

/// A task of a job, whichever entry places it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobName,
    /// Position of the task in the job.
    pub task: TaskIndex,
}

/// What a crash has shown.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Tasks that ran on the target, with the number of targets that have crashed under each.
    pub accused: Vec<(TaskKey, u32)>,
    /// Tasks that must not run again, with the number of targets that have crashed under each.
    pub given_up: Vec<(TaskKey, u32)>,
    /// Queues that are contained from now on.
    pub contained: Vec<QueueName>,
    /// Queues that are no longer contained, since the suspicion was not confirmed or a task of another one was given
    /// up.
    pub released: Vec<QueueName>,
}

/// Crashes as one entry has learnt of them from the agents.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    tasks: HashMap<TaskKey, AccusedTask>,
    queues: BTreeMap<QueueName, AccusedQueue>,
    /// When each queue was last contained, and how long it may have been on suspicion.
    suspicions: BTreeMap<QueueName, (Moment, Millis)>,
    /// Number of the last crash of each agent incarnation that was counted.
    counted: BTreeMap<AgentId, (Incarnation, u64)>,
    /// Agents whose targets have crashed and not returned, with the time of the crash.
    down_since: BTreeMap<AgentId, Moment>,
    /// Crashes by the queues whose tasks ran on the target, in the order of the reports.
    crashes_by_queue: BTreeMap<QueueName, Vec<CrashEvent>>,
    /// Latest crashes, which may have one cause.
    recent: VecDeque<CrashEvent>,
    /// Tasks that are given up unless their last crash turns out to have a common cause with others.
    pending: Vec<PendingVerdict>,
    /// Moving mean of the time in which crashed targets return.
    outage_ms: Option<f64>,
}

/// A crash, by the agent of the target and the time at which the agent noticed it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashEvent {
    agent: AgentId,
    at: Moment,
}

#[derive(Debug, Clone)]
struct PendingVerdict {
    key: TaskKey,
    queue: Option<QueueName>,
    crash: CrashEvent,
}

#[derive(Debug, Clone)]
struct AccusedTask {
    /// All crashes, also those of targets that may not have begun to run it.
    crashes: u32,
    /// Crashes of targets that had confirmed its start.
    confirmed_crashes: u32,
    is_given_up: bool,
    /// Crashes under the task, oldest first; never empty. No two have a common cause, since the task has moved in
    /// between.
    events: Vec<CrashEvent>,
    /// Run time at the last crash.
    last_run_ms: Millis,
}

#[derive(Debug, Clone)]
struct AccusedQueue {
    is_contained: bool,
    /// Whether any of its tasks was given up.
    has_convictions: bool,
    /// When one of its tasks was last alone suspected of a crash.
    suspected_at: Moment,
    /// Time for which the suspicion lasts, unless it is confirmed.
    suspicion_ms: Millis,
    last_crash_at: Moment,
    /// Agents whose targets have crashed under its tasks and may still be down.
    crashed_targets: BTreeSet<AgentId>,
    /// Runs that have ended well since the last crash.
    clean_runs: u32,
    /// Largest number of runs that ended well between two crashes.
    interval_runs: u32,
}

impl AccusedTask {
    fn last_crash(&self) -> &CrashEvent {
        self.events.last().expect("a task is accused by a crash")
    }
}

impl AccusedQueue {
    /// Runs that must end well until the queue is released.
    const fn required_runs(&self) -> u32 {
        let interval_runs = if self.interval_runs > MIN_INTERVAL_RUNS {
            self.interval_runs
        } else {
            MIN_INTERVAL_RUNS
        };
        interval_runs.saturating_mul(CLEAN_RUNS_PER_INTERVAL)
    }

    fn record_crash(&mut self, event: &CrashEvent) {
        self.interval_runs = self.interval_runs.max(self.clean_runs);
        self.clean_runs = 0;
        self.last_crash_at = event.at;
        self.crashed_targets.insert(event.agent.clone());
    }
}

impl CrashTracker {
    /// Records a crash that an agent reports; one that was counted before has no effect. `is_down` tells whether
    /// the target has not returned yet.
    pub fn record_crash(
        &mut self,
        now: Moment,
        agent: &AgentId,
        incarnation: Incarnation,
        crash: &TargetCrash,
        is_down: bool,
    ) -> Verdict {
        let last = self.counted.get(agent);
        let is_counted =
            last.is_some_and(|(known, last)| *known == incarnation && crash.number <= *last);
        if is_counted || crash.age_ms >= MEMORY_MS {
            return Verdict::default();
        }
        self.counted
            .insert(agent.clone(), (incarnation, crash.number));
        let event = CrashEvent {
            agent: agent.clone(),
            at: now - crash.age_ms,
        };
        if is_down {
            self.down_since.insert(agent.clone(), event.at);
        }
        self.recent.push_back(event.clone());
        let queues: BTreeSet<_> = crash
            .runs
            .iter()
            .filter_map(|run| run.queue.as_ref())
            .collect();
        for queue in queues {
            let of_queue = self.crashes_by_queue.entry(queue.clone()).or_default();
            of_queue.push(event.clone());
        }
        let suspect = self.sole_suspect(agent, &crash.runs);
        let mut verdict = Verdict::default();
        for run in &crash.runs {
            let key = TaskKey::from(run);
            let crashes = self.count(&key, run, &event);
            if crashes >= MAX_CRASHES {
                self.convict(&key, run.queue.as_ref(), &mut verdict);
            } else if crashes >= CONVICTING_CRASHES && suspect.as_ref() == Some(&key) {
                let contained = run.queue.iter();
                let contained = contained.filter(|queue| self.contain(queue, &key));
                verdict.contained.extend(contained.cloned());
                self.pending.push(PendingVerdict {
                    key: key.clone(),
                    queue: run.queue.clone(),
                    crash: event.clone(),
                });
            }
            verdict.accused.push((key, crashes));
        }
        for (queue, accused) in &mut self.queues {
            if crash
                .runs
                .iter()
                .any(|run| run.queue.as_ref() == Some(queue))
            {
                accused.record_crash(&event);
            }
        }
        verdict
    }

    /// Records a task that another entry has given up; `None` if it was given up here before.
    pub fn record_given_up(
        &mut self,
        now: Moment,
        agent: &AgentId,
        given_up: &GivenUpTask,
    ) -> Option<TaskKey> {
        let key = TaskKey {
            job: given_up.job.clone(),
            task: given_up.task,
        };
        let event = CrashEvent {
            agent: agent.clone(),
            at: now,
        };
        let task = self.tasks.entry(key.clone()).or_insert(AccusedTask {
            crashes: 0,
            confirmed_crashes: 0,
            is_given_up: false,
            events: vec![event],
            last_run_ms: Millis::default(),
        });
        task.crashes = task.crashes.max(given_up.crashes);
        if given_up.is_confirmed {
            task.confirmed_crashes = task.confirmed_crashes.max(CONVICTING_CRASHES);
        }
        (!std::mem::replace(&mut task.is_given_up, true)).then_some(key)
    }

    /// Gives up the tasks that were alone suspected of a crash, once other crashes of the same cause would be
    /// known.
    pub fn judge(&mut self, now: Moment) -> Verdict {
        let is_due = |pending: &mut PendingVerdict| now >= pending.crash.at + COMMON_CAUSE_MS;
        let due: Vec<_> = self.pending.extract_if(.., is_due).collect();
        let mut verdict = Verdict::default();
        for pending in due {
            if self.is_confirmed(&pending.key) && !self.has_common_cause(&pending) {
                self.convict(&pending.key, pending.queue.as_ref(), &mut verdict);
            }
        }
        let released =
            self.release_suspected(|accused| now >= accused.suspected_at + accused.suspicion_ms);
        verdict.released.extend(released);
        verdict
    }

    /// Whether as many targets have certainly crashed under a task as it takes to show its job as failed.
    #[must_use]
    pub fn is_confirmed(&self, key: &TaskKey) -> bool {
        let task = self.tasks.get(key);
        task.is_some_and(|task| task.confirmed_crashes >= CONVICTING_CRASHES)
    }

    /// When a task is judged that is alone suspected of the last crash under it; `None` if it is not.
    #[must_use]
    pub fn judged_at(&self, key: &TaskKey) -> Option<Moment> {
        let of_task = self.pending.iter().filter(|pending| pending.key == *key);
        let last_crash_at = of_task.map(|pending| pending.crash.at).max()?;
        Some(last_crash_at + COMMON_CAUSE_MS)
    }

    fn has_common_cause(&self, pending: &PendingVerdict) -> bool {
        let at = pending.crash.at;
        let is_simultaneous = |event: &&CrashEvent| {
            event.at <= at + COMMON_CAUSE_MS && at <= event.at + COMMON_CAUSE_MS
        };
        let of_task = self.tasks.get(&pending.key);
        let of_task = of_task.map_or(&[][..], |task| &task.events);
        let is_other =
            |event: &&CrashEvent| event.agent != pending.crash.agent && !of_task.contains(event);
        let mut others = self.recent.iter().filter(is_simultaneous).filter(is_other);
        others.next().is_some()
    }

    fn convict(&mut self, key: &TaskKey, queue: Option<&QueueName>, verdict: &mut Verdict) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut task.is_given_up, true) {
            return;
        }
        verdict.given_up.push((key.clone(), task.crashes));
        if let Some(queue) = queue {
            if self.contain(queue, key) {
                verdict.contained.push(queue.clone());
            }
            if let Some(accused) = self.queues.get_mut(queue) {
                accused.has_convictions = true;
            }
            verdict.released.extend(self.release_suspected(|_| true));
        }
    }

    /// Releases the queues that meet a condition, of those that were contained for a task that is not given up and no
    /// longer to be judged.
    fn release_suspected(&mut self, is_due: impl Fn(&AccusedQueue) -> bool) -> Vec<QueueName> {
        let pending = &self.pending;
        let is_pending =
            |queue: &QueueName| pending.iter().any(|p| p.queue.as_ref() == Some(queue));
        let suspected = self.queues.extract_if(.., |queue, accused| {
            let is_suspected = accused.is_contained && !accused.has_convictions;
            is_suspected && !is_pending(queue) && is_due(accused)
        });
        suspected.map(|(queue, _)| queue).collect()
    }

    /// The task that is alone suspected of a crash. It is the only one of the runs under which a target has crashed
    /// before. Unless it ran alone, that was another target, after about the same run time; and unless it has happened
    /// twice, no other run had started much later, since tasks that crash their targets mostly do so soon.
    fn sole_suspect(&self, agent: &AgentId, runs: &[CrashedRun]) -> Option<TaskKey> {
        let is_accused = |run: &&CrashedRun| {
            let known = self.tasks.get(&TaskKey::from(*run));
            run.earlier_crashes > 0 || known.is_some()
        };
        let mut accused = runs.iter().filter(is_accused);
        let suspect = accused.next().filter(|_| accused.next().is_none())?;
        let key = TaskKey::from(suspect);
        let is_suspect = self.tasks.get(&key).is_some_and(|task| {
            let is_repeated =
                task.last_crash().agent != *agent && is_same_work(task.last_run_ms, suspect.run_ms);
            let mut others = runs.iter();
            let is_youngest = others.all(|run| suspect.run_ms <= with_tolerance(run.run_ms));
            is_repeated && (is_youngest || task.crashes >= CONVICTING_CRASHES)
        });
        (is_suspect || runs.len() == 1).then_some(key)
    }

    fn count(&mut self, key: &TaskKey, run: &CrashedRun, event: &CrashEvent) -> u32 {
        let task = self.tasks.entry(key.clone()).or_insert(AccusedTask {
            crashes: 0,
            confirmed_crashes: 0,
            is_given_up: false,
            events: Vec::new(),
            last_run_ms: Millis::default(),
        });
        // Reports of several agents arrive in any order, for example at an entry that has just started.
        let known_crashes = u32::try_from(task.events.len()).unwrap_or(u32::MAX);
        let crashes = run.earlier_crashes.max(known_crashes).saturating_add(1);
        task.crashes = task.crashes.max(crashes);
        task.confirmed_crashes += u32::from(run.is_confirmed);
        task.events.push(event.clone());
        task.last_run_ms = run.run_ms;
        task.crashes
    }

    /// Contains the queue of a task; false if it was before.
    fn contain(&mut self, queue: &QueueName, task: &TaskKey) -> bool {
        let Some(task) = self.tasks.get(task) else {
            return false;
        };
        let crashed_at = task.last_crash().at;
        let accused = self.queues.entry(queue.clone()).or_insert(AccusedQueue {
            is_contained: false,
            has_convictions: false,
            suspected_at: crashed_at,
            suspicion_ms: SUSPICION_MS,
            last_crash_at: crashed_at,
            crashed_targets: BTreeSet::new(),
            clean_runs: 0,
            interval_runs: 0,
        });
        accused.suspected_at = accused.suspected_at.max(crashed_at);
        if std::mem::replace(&mut accused.is_contained, true) {
            return false;
        }
        let earlier = self
            .suspicions
            .get(queue)
            .map(|(_, earlier_ms)| *earlier_ms);
        accused.suspicion_ms = earlier.map_or(SUSPICION_MS, |earlier_ms| earlier_ms + earlier_ms);
        let suspicion = (crashed_at, accused.suspicion_ms);
        self.suspicions.insert(queue.clone(), suspicion);
        true
    }

    /// Agents whose targets have crashed under tasks of a queue, with the number of crashes. All entries learn of the
    /// same ones.
    #[must_use]
    pub fn crashed_targets(&self, queue: &QueueName) -> BTreeMap<&AgentId, usize> {
        let mut crashes = BTreeMap::new();
        for event in self.crashes_by_queue.get(queue).into_iter().flatten() {
            *crashes.entry(&event.agent).or_default() += 1;
        }
        crashes
    }

    /// Records a run of a queue that has ended well; true if the queue is released for it. One of which a task was given
    /// up is not released while targets that have crashed under its tasks are down, so that few are lost at a time if
    /// that is too early.
    pub fn record_success(&mut self, queue: &QueueName) -> bool {
        let Some(accused) = self.queues.get_mut(queue) else {
            return false;
        };
        accused.clean_runs = accused.clean_runs.saturating_add(1);
        let down_since = &self.down_since;
        accused
            .crashed_targets
            .retain(|agent| down_since.contains_key(agent));
        let is_cleared = accused.clean_runs >= accused.required_runs();
        let may_release = !accused.has_convictions || accused.crashed_targets.is_empty();
        is_cleared && may_release && std::mem::take(&mut accused.is_contained)
    }

    /// Records that an agent has a live target.
    #[expect(clippy::cast_precision_loss, reason = "outages stay far below 2^52 ms")]
    pub fn record_return(&mut self, now: Moment, agent: &AgentId) {
        let Some(since) = self.down_since.remove(agent) else {
            return;
        };
        let outage_ms = now.since(since).get() as f64;
        let mean_ms = self.outage_ms.unwrap_or(outage_ms);
        self.outage_ms = Some(mean_ms + OUTAGE_WEIGHT * (outage_ms - mean_ms));
    }

    /// Time until the first of these targets is expected to return from a crash; `None` if that is not known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of positive numbers of milliseconds"
    )]
    #[must_use]
    pub fn expected_return<'a>(
        &self,
        now: Moment,
        agents: impl Iterator<Item = &'a AgentId>,
    ) -> Option<Millis> {
        let outage_ms = Millis::new(self.outage_ms? as u64);
        let returns = agents.filter_map(|agent| self.down_since.get(agent));
        let returns = returns.map(|since| (*since + outage_ms).since(now));
        returns.min()
    }

    /// Whether a task of the job is still to be judged.
    #[must_use]
    pub fn is_job_pending(&self, job: &JobName) -> bool {
        self.pending.iter().any(|pending| pending.key.job == *job)
    }

    /// Whether no task is accused.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Number of targets that have crashed under a task.
    #[must_use]
    pub fn crashes(&self, key: &TaskKey) -> u32 {
        self.tasks.get(key).map_or(0, |task| task.crashes)
    }

    /// All tasks that must not run again.
    #[must_use]
    pub fn given_up(&self) -> Vec<GivenUpTask> {
        let given_up = self.tasks.iter().filter(|(_, task)| task.is_given_up);
        let given_up = given_up.map(|(key, task)| GivenUpTask {
            job: key.job.clone(),
            task: key.task,
            crashes: task.crashes,
            is_confirmed: self.is_confirmed(key),
        });
        given_up.collect()
    }

    /// A task of the job that must not run again, and the number of targets that have crashed under it.
    #[must_use]
    pub fn given_up_task(&self, job: &JobName) -> Option<(TaskIndex, u32)> {
        let tasks = self.tasks.iter();
        let mut given_up = tasks.filter(|(key, task)| key.job == *job && task.is_given_up);
        given_up.next().map(|(key, task)| (key.task, task.crashes))
    }

    /// Whether the tasks of a queue may use only a part of the targets.
    #[must_use]
    pub fn is_contained(&self, queue: &QueueName) -> bool {
        self.queues
            .get(queue)
            .is_some_and(|accused| accused.is_contained)
    }

    /// All contained queues.
    pub fn contained(&self) -> impl Iterator<Item = &QueueName> {
        let contained = self.queues.iter();
        contained
            .filter(|(_, accused)| accused.is_contained)
            .map(|(queue, _)| queue)
    }

    /// Forgets crashes that are long ago, and returns the queues that are released for it.
    pub fn expire(&mut self, now: Moment) -> Vec<QueueName> {
        let is_recent = |at: Moment| now < at + MEMORY_MS;
        self.tasks.retain(|_, task| is_recent(task.last_crash().at));
        let is_simultaneous =
            |event: &CrashEvent| now < event.at + COMMON_CAUSE_MS + COMMON_CAUSE_MS;
        self.recent.retain(is_simultaneous);
        self.down_since.retain(|_, since| is_recent(*since));
        self.suspicions.retain(|_, (at, _)| is_recent(*at));
        self.crashes_by_queue.retain(|_, events| {
            events.retain(|event| is_recent(event.at));
            !events.is_empty()
        });
        let outdated = self
            .queues
            .extract_if(.., |_, accused| !is_recent(accused.last_crash_at));
        outdated
            .filter(|(_, accused)| accused.is_contained)
            .map(|(queue, _)| queue)
            .collect()
    }
}

/// Whether two run times may be of the same work.
fn is_same_work(first_ms: Millis, second_ms: Millis) -> bool {
    first_ms.max(second_ms) <= with_tolerance(first_ms.min(second_ms))
}

/// Longest time that the work of a run may take on another target.
fn with_tolerance(run_ms: Millis) -> Millis {
    Millis::new(run_ms.get().saturating_mul(MAX_SPEED_RATIO)) + NOTICE_SLACK_MS
}

impl From<&CrashedRun> for TaskKey {
    fn from(run: &CrashedRun) -> Self {
        Self {
            job: run.job.clone(),
            task: run.task,
        }
    }
}
