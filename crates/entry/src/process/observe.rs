//! Turns observations of the policy into metrics and log events.

use std::collections::HashMap;

use dfs_conf::Evacuations;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Gauge;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::RequestEvent;
use dfs_log::Series;
use dfs_log::SessionEvent;
use dfs_log::TargetEvent;
use dfs_policy::entry::CountedFailure;
use dfs_policy::entry::EvacuationSource;
use dfs_policy::entry::NearPlacement;
use dfs_policy::entry::Observation;

const PERMILLE: u64 = 1_000;
/// Shortest time between two log events about the spent retry budget of one group.
const SPENT_BUDGET_LOG_INTERVAL_MS: Millis = Millis::new(10_000);

/// Records the observations of the policy.
#[derive(Debug)]
pub(super) struct Observer {
    metrics: Metrics,
    spent_budget_logged_at: HashMap<GroupId, Moment>,
}

impl Observer {
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            spent_budget_logged_at: HashMap::new(),
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
                slowdown_permille,
            } => dfs_log::emit(TargetEvent::Slow {
                agent,
                stretch_permille: slowdown_permille,
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
            Observation::NearDataPlaced(placed) => self.observe_near(placed),
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
            Observation::FailureCounted(counted) => log_failure(counted),
            Observation::CrashReported { .. }
            | Observation::TaskGivenUp { .. }
            | Observation::QueueContained { .. }
            | Observation::QueueReleased { .. } => self.observe_crash(observation),
            Observation::EvacuationsChanged {
                evacuations,
                source,
            } => self.record_evacuations(&evacuations, source),
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
                let response_permille =
                    response_us.saturating_mul(PERMILLE) / longest_run_us.max(1);
                let messages_permille = messages.saturating_mul(PERMILLE) / tasks.max(1);
                let values = [
                    (Series::ResponseUs, response_us),
                    (Series::ResponsePermille, response_permille),
                    (Series::MessagesPerTaskPermille, messages_permille),
                ];
                self.metrics.record_all(&group, &service, &values);
            }
            Observation::TaskRetried { .. } => self.metrics.count(Counter::Retries, 1),
            Observation::RetryRefused { group } => self.log_spent_budget(now, group),
        }
    }

    fn record_evacuations(&self, evacuations: &Evacuations, source: EvacuationSource) {
        let domains = u64::try_from(evacuations.domains.len()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::EvacuatedDomains, domains);
        dfs_log::emit(ConfigEvent::EvacuationsChanged {
            domains: evacuations.domains.iter().collect(),
            revision: evacuations.revision,
            source: match source {
                EvacuationSource::Store => ConfigSource::Store,
                EvacuationSource::Agent => ConfigSource::Session,
            },
        });
    }

    fn observe_near(&self, placed: NearPlacement) {
        let place = if placed.is_near {
            Counter::PlacedNear
        } else {
            Counter::PlacedAway
        };
        self.metrics.count(place, placed.tasks);
        if placed.waited_tasks > 0 {
            let (waited_ms, saved_ms) = (placed.waited_ms.get(), placed.saved_ms.get());
            self.metrics
                .count(Counter::PlacedAfterWait, placed.waited_tasks);
            self.metrics.count(Counter::NearWaitMs, waited_ms);
            self.metrics.count(Counter::NearSavedMs, saved_ms);
        }
        dfs_log::emit(RequestEvent::PlacedByData {
            submission: placed.submission,
            agent: placed.agent,
            near: placed.near,
            is_near: placed.is_near,
            tasks: placed.tasks,
            waited_tasks: placed.waited_tasks,
            waited_ms: placed.waited_ms,
            saved_ms: placed.saved_ms,
        });
    }

    fn observe_crash(&self, observation: Observation) {
        match observation {
            Observation::CrashReported {
                agent,
                accused,
                age_ms,
            } => dfs_log::emit(TargetEvent::CrashReported {
                agent,
                running_tasks: accused,
                age_ms,
            }),
            Observation::TaskGivenUp { task, crashes } => {
                self.metrics.count(Counter::TasksGivenUp, 1);
                dfs_log::emit(RequestEvent::TaskGivenUp {
                    job: task.job,
                    task: task.task,
                    crashes,
                });
            }
            Observation::QueueContained {
                queue,
                targets,
                service_targets,
            } => {
                self.metrics.count(Counter::QueuesContained, 1);
                dfs_log::emit(TargetEvent::QueueContained {
                    queue,
                    targets,
                    service_targets,
                });
            }
            Observation::QueueReleased { queue } => {
                dfs_log::emit(TargetEvent::QueueReleased { queue });
            }
            _ => {}
        }
    }

    fn log_spent_budget(&mut self, now: Moment, group: GroupId) {
        let logged_at = self.spent_budget_logged_at.get(&group);
        if logged_at.is_none_or(|at| now.since(*at) >= SPENT_BUDGET_LOG_INTERVAL_MS) {
            self.spent_budget_logged_at.insert(group.clone(), now);
            dfs_log::emit(TargetEvent::RetryBudgetSpent { group });
        }
    }
}

fn log_failure(counted: CountedFailure) {
    dfs_log::emit(RequestEvent::FailureCounted {
        submission: counted.task.submission,
        task: counted.task.task,
        attempt: counted.task.attempt,
        agent: counted.agent,
        failed_runs: counted.failed_runs,
        max_failures: counted.max_failures,
        submitted_max_failures: counted.submitted_max_failures,
        version: counted.version,
    });
}
