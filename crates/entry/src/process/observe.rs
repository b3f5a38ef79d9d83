//! Observations of the decisions as metrics and events.

use std::collections::HashMap;

use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::RequestEvent;
use dfs_log::Series;
use dfs_log::SessionEvent;
use dfs_log::TargetEvent;
use dfs_policy::entry::Observation;

const PERMILLE: u64 = 1_000;
/// Shortest time between two events that tell of one group's spent budget.
const BUDGET_EVENT_MS: Millis = Millis::new(10_000);

/// Records observations.
#[derive(Debug)]
pub(super) struct Observer {
    metrics: Metrics,
    budget_told: HashMap<GroupId, Moment>,
}

impl Observer {
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            budget_told: HashMap::new(),
        }
    }

    pub fn observe(&mut self, now: Moment, observation: Observation) {
        match observation {
            Observation::SessionOpened { agent } => {
                let peer = ProcessName::Agent(agent);
                dfs_log::emit(SessionEvent::Opened { peer });
            }
            Observation::AgentLost {
                agent,
                outstanding_tasks,
            } => {
                let peer = ProcessName::Agent(agent);
                let settled_tasks = outstanding_tasks;
                dfs_log::emit(SessionEvent::Lapsed {
                    peer,
                    settled_tasks,
                });
            }
            Observation::TargetSlow {
                agent,
                stretch_permille,
            } => dfs_log::emit(TargetEvent::Slow {
                agent,
                stretch_permille,
            }),
            Observation::TargetEjected { agent } => {
                self.metrics.count(Counter::Ejections, 1);
                dfs_log::emit(TargetEvent::Ejected { agent });
            }
            Observation::TasksPlaced {
                submission,
                agent,
                tasks,
                load_permille,
                hint_age_ms,
                age_ms,
            } => dfs_log::emit(RequestEvent::Placed {
                submission,
                agent,
                tasks: tasks.into_iter().collect(),
                load_permille,
                hint_age_ms,
                age_ms,
            }),
            Observation::TaskRequeued { task, agent, cause } => {
                self.metrics.count(Counter::PlacedAnew, 1);
                dfs_log::emit(RequestEvent::QueuedAgain {
                    submission: task.submission,
                    task: task.task,
                    attempt: task.attempt,
                    agent,
                    cause: ErrorText::from(cause.as_str()),
                });
            }
            Observation::ObjectiveUnreachable { submission, age_ms } => {
                self.metrics.count(Counter::Late, 1);
                dfs_log::emit(RequestEvent::Late { submission, age_ms });
            }
            Observation::TaskDone {
                group,
                service,
                wait_us,
                run_us,
            } => {
                self.metrics.count(Counter::TasksSettled, 1);
                let values = [(Series::QueueWaitUs, wait_us), (Series::RunTimeUs, run_us)];
                self.metrics.record_all(&group, &service, &values);
            }
            Observation::SubmissionCompleted {
                group,
                service,
                response_us,
                longest_run_us,
                tasks,
                messages,
            } => {
                let response = response_us.saturating_mul(PERMILLE) / longest_run_us.max(1);
                let messages = messages.saturating_mul(PERMILLE) / tasks.max(1);
                let values = [
                    (Series::ResponseUs, response_us),
                    (Series::ResponsePermille, response),
                    (Series::MessagesPerTaskPermille, messages),
                ];
                self.metrics.record_all(&group, &service, &values);
            }
            Observation::TaskRetried { .. } => self.metrics.count(Counter::Retries, 1),
            Observation::RetryRefused { group } => self.tell_budget(now, group),
        }
    }

    fn tell_budget(&mut self, now: Moment, group: GroupId) {
        let told = self.budget_told.get(&group);
        if told.is_none_or(|at| now.since(*at) >= BUDGET_EVENT_MS) {
            self.budget_told.insert(group.clone(), now);
            dfs_log::emit(TargetEvent::RetryBudgetSpent { group });
        }
    }
}
