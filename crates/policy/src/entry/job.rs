//! Open submissions and the states of their tasks.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::JobName;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use dfs_wire::session::WorkKind;
use serde_json::value::RawValue;

use super::Constraints;
use super::Submission;
use super::queue::Lane;

/// Added to the priority number of submissions that can't meet their objective, so that they go behind
/// all others.
const DEMOTION_OFFSET: u8 = 128;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Expected run time of one task in microseconds: the declared one, or the mean if none is declared.
#[expect(
    clippy::cast_precision_loss,
    reason = "run times stay far below 2^52 ms"
)]
pub(super) fn expected_run_us(terms: &Terms, mean_us: f64) -> f64 {
    match terms.declared_ms.get() {
        0 => mean_us,
        declared_ms => declared_ms as f64 * MICROS_PER_MILLI,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of milliseconds; a larger one saturates"
)]
pub(super) fn millis_from_micros(us: f64) -> Millis {
    Millis::new((us / MICROS_PER_MILLI) as u64)
}

/// An admitted submission that is not answered yet.
#[derive(Debug)]
pub(super) struct Job {
    /// Name that its caller gave it, or else the identifier of the submission.
    pub name: JobName,
    pub group: GroupId,
    pub service: ServiceName,
    pub submitted_at: Moment,
    pub deadline: Moment,
    pub terms: Terms,
    /// Arrival plus the latency objective, if the caller gave one.
    pub objective_at: Option<Moment>,
    /// Latest start at which a run still ends in time to be of use to the caller. An undeclared run time
    /// counts as zero.
    pub latest_start: Moment,
    /// Expected run time on the fastest target over the declared one, when it was submitted.
    pub shortest_run: f64,
    /// Whether it is queued behind all others because it can't meet its objective.
    pub is_demoted: bool,
    /// Whether its tasks may use only the targets set aside for its queue.
    pub is_contained: bool,
    /// Number of failed runs of one task at which the submission fails once its queue is gone; `None` for no
    /// limit.
    pub max_failures: Option<u32>,
    pub constraints: Constraints,
    pub queue: Option<QueueName>,
    pub tasks: Vec<Task>,
    /// Exactly the tasks in [`TaskState::Queued`], in the order in which they are placed.
    pub pending: VecDeque<TaskIndex>,
    /// Number of tasks that are not in [`TaskState::Done`].
    pub unfinished: u32,
    /// Number of messages that carried tasks or results of the submission.
    pub messages: u64,
    /// Agent and sequence number of the report with its latest result.
    pub last_report: Option<(AgentId, u64)>,
    pub longest_run_us: u64,
}

/// One task of an open submission.
#[derive(Debug)]
pub(super) struct Task {
    pub body: Arc<RawValue>,
    pub attempt: Attempt,
    /// Runs that ended in a failure; limited by the `max_failures` of the queue.
    pub failed_runs: u32,
    /// Attempts that were refused or, if the task is repeatable, had an unknown outcome; limited by the
    /// `max_attempts` rule.
    pub failed_attempts: u32,
    /// Times that an agent without a free slot handed it back; limited by the `max_hand_backs` rule.
    pub hand_backs: u32,
    /// Targets that have crashed under it.
    pub crashes: u32,
    /// Agent of the last attempt; used again only if no other one is eligible.
    pub avoid_agent: Option<AgentId>,
    /// Agents whose targets do not accept it; used again only if no other one is eligible.
    pub refused_by: BTreeSet<AgentId>,
    /// Whether an earlier attempt may have run; then only a repeatable task is attempted again.
    pub may_have_run: bool,
    /// Since when it waits for a target near its data while others have room.
    pub waits_since: Option<Moment>,
    pub state: TaskState,
}

impl Task {
    fn has_not_run(&self) -> bool {
        matches!(self.state, TaskState::Queued) && !self.may_have_run
    }
}

#[derive(Debug)]
pub(super) enum TaskState {
    Queued,
    /// Sent to one agent incarnation; requeued only on proof that it has not run.
    Placed {
        agent: AgentId,
        /// Estimated run time that was charged to the group's share at placement.
        charged_us: f64,
    },
    Done(Arc<RawValue>),
}

impl Job {
    pub fn new(
        submission: Submission,
        now: Moment,
        deadline: Moment,
        give_up_at: Moment,
        shortest_run: f64,
    ) -> Self {
        let count = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let task = |body| Task {
            body,
            attempt: Attempt::default(),
            failed_runs: 0,
            failed_attempts: 0,
            hand_backs: 0,
            crashes: 0,
            avoid_agent: None,
            refused_by: BTreeSet::new(),
            may_have_run: false,
            waits_since: None,
            state: TaskState::Queued,
        };
        let id = &submission.id;
        let declared_us = expected_run_us(&submission.terms, 0.0);
        let shortest_run_ms = millis_from_micros(declared_us * shortest_run);
        Self {
            name: submission.job.unwrap_or_else(|| JobName::from(id)),
            group: submission.group,
            service: submission.service,
            submitted_at: now,
            deadline,
            latest_start: give_up_at.min(deadline) - shortest_run_ms,
            terms: submission.terms,
            objective_at: submission.objective_ms.map(|objective| now + objective),
            shortest_run,
            is_demoted: false,
            is_contained: false,
            max_failures: submission.max_failures.map(|max| max.max(1)),
            constraints: submission.constraints,
            queue: submission.queue,
            tasks: submission.tasks.into_iter().map(task).collect(),
            pending: (0..count).map(TaskIndex::new).collect(),
            unfinished: count,
            messages: 0,
            last_report: None,
            longest_run_us: 0,
        }
    }

    /// Adds a report to `messages` once, however many results of the submission it contains.
    pub fn count_report(&mut self, agent: &AgentId, seq: u64) {
        let report = Some((agent.clone(), seq));
        if self.last_report != report {
            self.last_report = report;
            self.messages += 1;
        }
    }

    pub fn lane(&self) -> Lane {
        let offset = if self.is_demoted { DEMOTION_OFFSET } else { 0 };
        Lane {
            priority: Priority::new(self.terms.priority.get().saturating_add(offset)),
            group: self.group.clone(),
            service: self.service.clone(),
            contained: self.queue.clone().filter(|_| self.is_contained),
        }
    }

    pub fn kind(&self) -> WorkKind {
        WorkKind::new(self.queue.as_ref(), &self.service)
    }

    pub fn expected_run_us(&self, mean_us: f64) -> f64 {
        expected_run_us(&self.terms, mean_us)
    }

    /// Expected run time of one task on the fastest target, in microseconds.
    pub fn shortest_run_us(&self, mean_us: f64) -> f64 {
        self.expected_run_us(mean_us) * self.shortest_run
    }

    /// Number of tasks placed on an agent.
    pub fn placed_on(&self, id: &AgentId) -> u32 {
        let is_there =
            |task: &&Task| matches!(&task.state, TaskState::Placed { agent, .. } if agent == id);
        u32::try_from(self.tasks.iter().filter(is_there).count()).unwrap_or(u32::MAX)
    }

    pub fn task(&self, index: TaskIndex) -> Option<&Task> {
        self.tasks.get(index.get() as usize)
    }

    pub fn task_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.tasks.get_mut(index.get() as usize)
    }

    /// Whether this attempt of the task is placed on the agent.
    pub fn is_placed(&self, task: &TaskRef, id: &AgentId) -> bool {
        self.task(task.task).is_some_and(|t| {
            let is_there = matches!(&t.state, TaskState::Placed { agent, .. } if agent == id);
            is_there && t.attempt == task.attempt
        })
    }

    /// Whether no task ran, may have run or may still start.
    pub fn has_not_run(&self) -> bool {
        self.tasks.iter().all(Task::has_not_run)
    }

    /// Tasks that ran, may have run or may still start.
    pub fn may_have_run(&self) -> Vec<TaskIndex> {
        let indexed = (0..).map(TaskIndex::new).zip(&self.tasks);
        indexed
            .filter(|(_, task)| !task.has_not_run())
            .map(|(index, _)| index)
            .collect()
    }

    pub fn placed_tasks(&self, submission: &SubmissionId) -> Vec<(AgentId, TaskRef)> {
        let indexed = (0..).map(TaskIndex::new).zip(&self.tasks);
        indexed
            .filter_map(|(index, task)| match &task.state {
                TaskState::Placed { agent, .. } => Some((
                    agent.clone(),
                    TaskRef {
                        submission: submission.clone(),
                        task: index,
                        attempt: task.attempt,
                    },
                )),
                TaskState::Queued | TaskState::Done(_) => None,
            })
            .collect()
    }
}
