//! Observations of the decisions as metrics and events.

use dfs_log::Counter;
use dfs_log::Metrics;
use dfs_log::Series;
use dfs_policy::entry::Observation;

const PERMILLE: u64 = 1_000;

/// Records an observation.
pub(super) fn observe(metrics: &Metrics, observation: Observation) {
    match observation {
        Observation::Ejected { .. } => metrics.count(Counter::Ejections, 1),
        Observation::TaskDone {
            group,
            service,
            wait_us,
            run_us,
        } => {
            metrics.count(Counter::TasksSettled, 1);
            metrics.record(Series::QueueWaitUs, &group, &service, wait_us);
            metrics.record(Series::RunTimeUs, &group, &service, run_us);
        }
        Observation::Completed {
            group,
            service,
            response_us,
            ideal_us,
        } => {
            let permille = response_us.saturating_mul(PERMILLE) / ideal_us.max(1);
            metrics.record(Series::ResponsePermille, &group, &service, permille);
        }
        Observation::Retried { .. } => metrics.count(Counter::Retries, 1),
        Observation::SessionOpened { .. }
        | Observation::AgentLost { .. }
        | Observation::RetryRefused { .. } => {}
    }
}
