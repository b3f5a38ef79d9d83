//! Open submissions.

use std::collections::VecDeque;
use std::sync::Arc;

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::session::TaskRef;
use dfs_wire::session::Terms;
use serde_json::value::RawValue;

use super::Constraints;
use super::Submission;
use super::queue::Lane;

/// Distance in priority of submissions that are late, so that they go behind all that are not.
const LATE_PRIORITIES: u8 = 128;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Run time to reckon with for one task, in microseconds: the declared one, else the mean.
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

/// A span that was reckoned in microseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of milliseconds; a larger one saturates"
)]
pub(super) fn millis(us: f64) -> Millis {
    Millis::new((us / MICROS_PER_MILLI) as u64)
}

/// An open submission.
#[derive(Debug)]
pub(super) struct Job {
    pub group: GroupId,
    pub service: ServiceName,
    pub submitted_at: Moment,
    pub deadline: Moment,
    pub terms: Terms,
    /// When the answer should be there; none: any time before the deadline.
    pub due: Option<Moment>,
    /// Latest start of a run whose end is still of use to the caller; a run time that is not declared
    /// counts as none.
    pub latest_start: Moment,
    /// Whether it can no longer be answered when it is due; it then goes behind all others.
    pub is_late: bool,
    /// Runs of one task that may end in a failure; the last one fails the submission.
    pub max_failures: u32,
    pub constraints: Constraints,
    pub queue: Option<QueueName>,
    pub tasks: Vec<Task>,
    /// Tasks to place, in order; exactly those in [`TaskState::Queued`].
    pub pending: VecDeque<TaskIndex>,
    /// Tasks that are not in [`TaskState::Done`].
    pub left: u32,
    /// Messages that carried tasks or results of the submission.
    pub messages: u64,
    /// Report that brought its latest result.
    pub last_report: Option<(AgentId, u64)>,
    /// Longest run time of a task so far, in microseconds.
    pub longest_run_us: u64,
}

/// One task of an open submission.
#[derive(Debug)]
pub(super) struct Task {
    pub body: Arc<RawValue>,
    pub attempt: Attempt,
    /// Runs that ended in a failure.
    pub failed_runs: u32,
    /// Attempts that ended in a refusal or, for a repeatable one, in an unknown outcome.
    pub failures: u32,
    /// Times that an agent without a free slot handed it back.
    pub hand_backs: u32,
    /// The agent that refused it last.
    pub avoid: Option<AgentId>,
    /// Whether an earlier attempt may have run; only a repeatable task has another one then.
    pub may_have_run: bool,
    pub state: TaskState,
}

impl Task {
    fn has_not_run(&self) -> bool {
        matches!(self.state, TaskState::Queued) && !self.may_have_run
    }
}

/// State of a task.
#[derive(Debug)]
pub(super) enum TaskState {
    Queued,
    /// Handed to one agent incarnation; from here only a positive "not run" leads back.
    Placed {
        agent: AgentId,
        charged_us: f64,
    },
    Done(Arc<RawValue>),
}

impl Job {
    pub fn new(submission: Submission, now: Moment, deadline: Moment, give_up_at: Moment) -> Self {
        let count = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let task = |body| Task {
            body,
            attempt: Attempt::default(),
            failed_runs: 0,
            failures: 0,
            hand_backs: 0,
            avoid: None,
            may_have_run: false,
            state: TaskState::Queued,
        };
        Self {
            group: submission.group,
            service: submission.service,
            submitted_at: now,
            deadline,
            terms: submission.terms,
            due: submission.objective_ms.map(|objective| now + objective),
            latest_start: give_up_at.min(deadline) - submission.terms.declared_ms,
            is_late: false,
            max_failures: submission.max_failures.max(1),
            constraints: submission.constraints,
            queue: submission.queue,
            tasks: submission.tasks.into_iter().map(task).collect(),
            pending: (0..count).map(TaskIndex::new).collect(),
            left: count,
            messages: 0,
            last_report: None,
            longest_run_us: 0,
        }
    }

    /// Counts a report once, however many results of the submission it brings.
    pub fn count_report(&mut self, agent: &AgentId, seq: u64) {
        let report = Some((agent.clone(), seq));
        if self.last_report != report {
            self.last_report = report;
            self.messages += 1;
        }
    }

    /// Where its tasks are queued.
    pub fn lane(&self) -> Lane {
        let late = if self.is_late { LATE_PRIORITIES } else { 0 };
        Lane {
            priority: Priority::new(self.terms.priority.get().saturating_add(late)),
            group: self.group.clone(),
            service: self.service.clone(),
        }
    }

    /// Run time to reckon with for one task, in microseconds.
    pub fn expected_run_us(&self, mean_us: f64) -> f64 {
        expected_run_us(&self.terms, mean_us)
    }

    /// Tasks that an agent holds.
    pub fn placed_at(&self, at: &AgentId) -> u32 {
        let here =
            |task: &&Task| matches!(&task.state, TaskState::Placed { agent, .. } if agent == at);
        u32::try_from(self.tasks.iter().filter(here).count()).unwrap_or(u32::MAX)
    }

    pub fn task(&self, index: TaskIndex) -> Option<&Task> {
        self.tasks.get(index.get() as usize)
    }

    pub fn task_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.tasks.get_mut(index.get() as usize)
    }

    /// Whether the agent holds this very attempt.
    pub fn is_placed(&self, task: &TaskRef, at: &AgentId) -> bool {
        self.task(task.task).is_some_and(|t| {
            let here = matches!(&t.state, TaskState::Placed { agent, .. } if agent == at);
            here && t.attempt == task.attempt
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

    /// Placed tasks with their agents.
    pub fn placed(&self, submission: &SubmissionId) -> Vec<(AgentId, TaskRef)> {
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
