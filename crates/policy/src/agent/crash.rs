//! Crashes of the target, which every entry learns from the agent: the agent outlives the target, and its
//! sessions outlive the entry that placed a task.
//!
//! An entry without a session to the agents of the crashed targets does not learn of a crash. So the entry that gives
//! a task up tells all its agents, which don't start the task for any entry.

use std::collections::VecDeque;

use dfs_ids::JobName;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TaskIndex;
use dfs_wire::session::CrashedRun;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Origin;
use dfs_wire::session::TargetCrash;
use dfs_wire::session::TaskRef;

use super::Agent;
use super::Observation;
use super::record::TaskRecord;
use crate::runs::CrashedAttempt;

/// Time for which an entry that opens a session is told of a crash. Callers submit a lost job again within
/// seconds.
const RETENTION_MS: Millis = Millis::new(60_000);
/// Limit on the crashes kept; a target that takes a second to return crashes no more often.
const MAX_CRASHES: usize = 60;
/// Limit on the ended runs whose origin is kept until the target shows whether it has restarted.
const MAX_ENDED_RUNS: usize = 256;
/// Limit on the tasks that are kept as given up.
const MAX_GIVEN_UP: usize = 1_024;

/// Latest crashes of the target.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    /// Number of the last crash.
    last_number: u64,
    /// Crashes in order, each with the time at which it was noticed.
    crashes: VecDeque<(Moment, TargetCrash)>,
    /// Origins of runs that have ended with an unknown outcome, oldest first.
    ended_runs: VecDeque<(TaskRef, CrashedRun)>,
    /// Tasks that entries have given up, oldest first, each with the time at which the agent learnt of it.
    given_up: VecDeque<(Moment, GivenUpTask)>,
}

impl CrashHistory {
    /// Whether there are crashes after the one with this number.
    pub const fn has_after(&self, number: u64) -> bool {
        self.last_number > number
    }

    pub const fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Crashes after the one with this number.
    pub fn after(&self, now: Moment, number: u64) -> Vec<TargetCrash> {
        let later = self.crashes.iter();
        let later = later.filter(|(_, crash)| crash.number > number);
        later
            .map(|(at, crash)| TargetCrash {
                age_ms: now.since(*at),
                ..crash.clone()
            })
            .collect()
    }

    /// Keeps the origin of a run with an unknown outcome, which may turn out to have ended in a crash.
    pub fn keep_ended(&mut self, task: &TaskRef, record: &TaskRecord, run_ms: Millis) {
        if self.ended_runs.len() == MAX_ENDED_RUNS {
            self.ended_runs.pop_front();
        }
        self.ended_runs
            .push_back((task.clone(), crashed_run(task, record, run_ms)));
    }

    /// What is known of a task, if an entry has given it up.
    pub fn given_up(&self, job: &JobName, task: TaskIndex) -> Option<&GivenUpTask> {
        let mut given_up = self.given_up.iter().map(|(_, given_up)| given_up);
        given_up.find(|given_up| given_up.task == task && given_up.job == *job)
    }

    fn give_up(&mut self, now: Moment, tasks: Vec<GivenUpTask>) {
        self.given_up
            .extend(tasks.into_iter().map(|task| (now, task)));
        let is_outdated = |(at, _): &(Moment, GivenUpTask)| now >= *at + RETENTION_MS;
        while self.given_up.len() > MAX_GIVEN_UP || self.given_up.front().is_some_and(is_outdated) {
            self.given_up.pop_front();
        }
    }

    fn take_ended(&mut self, task: &TaskRef) -> Option<CrashedRun> {
        let index = self.ended_runs.iter().position(|(t, _)| t == task)?;
        self.ended_runs.remove(index).map(|(_, run)| run)
    }

    fn add(&mut self, now: Moment, runs: Vec<CrashedRun>) {
        self.last_number += 1;
        let crash = TargetCrash {
            number: self.last_number,
            age_ms: Millis::default(),
            runs,
        };
        self.crashes.push_back((now, crash));
        let is_outdated = |(at, _): &(Moment, TargetCrash)| now >= *at + RETENTION_MS;
        while self.crashes.len() > MAX_CRASHES || self.crashes.front().is_some_and(is_outdated) {
            self.crashes.pop_front();
        }
    }
}

impl Agent {
    pub(super) fn on_target_crashed(&mut self, now: Moment, attempts: &[CrashedAttempt]) {
        let run = |attempt: &CrashedAttempt| {
            let task = &attempt.task;
            let run = match self.records.get(task) {
                Some(record) => Some(crashed_run(task, record, record.run_ms(now))),
                None => self.crashes.take_ended(task),
            };
            run.map(|run| CrashedRun {
                is_confirmed: attempt.is_confirmed,
                ..run
            })
        };
        let runs: Vec<_> = attempts.iter().filter_map(run).collect();
        self.observations
            .push(Observation::TargetCrashed { runs: runs.clone() });
        self.report_given_up_runs(&runs);
        self.crashes.add(now, runs);
    }

    /// Tells all entries of the tasks among these runs that one of them has given up: the entry that placed the task
    /// did not know yet.
    fn report_given_up_runs(&mut self, runs: &[CrashedRun]) {
        let given_up = |run: &CrashedRun| self.crashes.given_up(&run.job, run.task).cloned();
        let given_up: Vec<_> = runs.iter().filter_map(given_up).collect();
        for view in self.entries.values_mut() {
            view.pending_given_up.extend_from_slice(&given_up);
        }
    }

    /// Keeps tasks that an entry has given up from starting, those in the queue included.
    pub(super) fn on_given_up(&mut self, now: Moment, tasks: Vec<GivenUpTask>) {
        self.crashes.give_up(now, tasks);
        let is_given_up = |task: &&TaskRef| {
            let record = self.records.get(*task);
            record.is_some_and(|record| self.given_up(task, &record.origin).is_some())
        };
        let queued: Vec<_> = self.queue.tasks().filter(is_given_up).cloned().collect();
        for task in queued {
            self.hand_back(&task, NotRunReason::GivenUp);
        }
    }

    pub(super) fn given_up(&self, task: &TaskRef, origin: &Origin) -> Option<&GivenUpTask> {
        let job = origin.job_name(&task.submission);
        self.crashes.given_up(&job, task.task)
    }
}

fn crashed_run(task: &TaskRef, record: &TaskRecord, run_ms: Millis) -> CrashedRun {
    let origin = &record.origin;
    CrashedRun {
        job: origin.job_name(&task.submission),
        task: task.task,
        queue: origin.queue.clone(),
        run_ms,
        is_confirmed: false,
        earlier_crashes: origin.crashes,
    }
}
