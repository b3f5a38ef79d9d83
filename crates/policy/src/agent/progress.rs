//! Detects slow targets and stalled runs from the progress of runs.

use std::collections::BTreeMap;

use dfs_ids::Attempt;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::session::TaskRef;

use super::Agent;
use super::AgentAction;
use super::record::Progress;
use super::record::Stage;
use super::record::TaskRecord;

/// Slowdown of a target on which runs take as long as declared. The slowdown is the ratio of projected to
/// declared run time.
pub(super) const NOMINAL_SLOWDOWN_PERMILLE: u32 = 1_000;
/// Elapsed time from which a run counts towards the slowdown; before it, start-up dominates the run.
const MIN_ELAPSED_MS: Millis = Millis::new(40);
/// Fewest submissions from which a slowdown is derived. The declared run time of a single submission may be
/// far off, and equally so for all of its tasks.
const MIN_SUBMISSIONS: usize = 3;
/// Time without progress after which a run counts as stalled, to which a fraction of the declared run time is
/// added. Within this time a run of several seconds advances by one percent even on a target that is eight
/// times slower than expected.
const MIN_STALL_TIMEOUT_MS: Millis = Millis::new(400);
/// The stall timeout is increased by the declared run time divided by this.
const STALL_TIMEOUT_DIVISOR: u64 = 10;
/// Stalled runs of this and later attempts are not stopped, since the declared run time may be far too
/// short.
const FIRST_EXEMPT_ATTEMPT: Attempt = Attempt::new(2);
const PERCENT: f64 = 100.0;

impl Agent {
    pub(super) fn on_progress(
        &mut self,
        now: Moment,
        progress: &[(TaskRef, u8)],
        out: &mut Vec<AgentAction>,
    ) {
        let mut slowdowns: BTreeMap<SubmissionId, f64> = BTreeMap::new();
        let mut stalled = Vec::new();
        for (task, percent) in progress {
            let Some(record) = self.records.get_mut(task) else {
                continue;
            };
            if let Some(slowdown) = slowdown(now, record, *percent) {
                let lowest = slowdowns.entry(task.submission.clone()).or_insert(slowdown);
                *lowest = lowest.min(slowdown);
            }
            if update_progress(now, record, *percent) && task.attempt < FIRST_EXEMPT_ATTEMPT {
                stalled.push(task.clone());
            }
        }
        self.slowdown_permille = median_permille(slowdowns.into_values().collect());
        for task in stalled {
            self.stop_run(&task, "run stalled", out);
        }
    }
}

/// Projected run time, extrapolated from the progress, over the declared one.
#[expect(
    clippy::cast_precision_loss,
    reason = "run times stay far below 2^52 ms"
)]
fn slowdown(now: Moment, record: &TaskRecord, percent: u8) -> Option<f64> {
    let Stage::Running { started_at, .. } = record.stage else {
        return None;
    };
    let (elapsed_ms, declared_ms) = (now.since(started_at), record.terms.declared_ms);
    if elapsed_ms < MIN_ELAPSED_MS || declared_ms == Millis::default() {
        return None;
    }
    let fraction = f64::from(percent.max(1)) / PERCENT;
    Some(elapsed_ms.get() as f64 / fraction / declared_ms.get() as f64)
}

/// Records the progress of a run and returns whether the run is stalled.
fn update_progress(now: Moment, record: &mut TaskRecord, percent: u8) -> bool {
    let stall_timeout_ms =
        MIN_STALL_TIMEOUT_MS + Millis::new(record.terms.declared_ms.get() / STALL_TIMEOUT_DIVISOR);
    let Stage::Running { progress, .. } = &mut record.stage else {
        return false;
    };
    match progress {
        Some(known) if known.percent >= percent => now.since(known.since) >= stall_timeout_ms,
        _ => {
            let since = now;
            *progress = Some(Progress { percent, since });
            false
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number; a larger one saturates"
)]
fn median_permille(mut slowdowns: Vec<f64>) -> u32 {
    if slowdowns.len() < MIN_SUBMISSIONS {
        return NOMINAL_SLOWDOWN_PERMILLE;
    }
    slowdowns.sort_by(f64::total_cmp);
    // Truncated to whole multiples, so that entries receive only significant changes.
    let multiple = slowdowns[(slowdowns.len() - 1) / 2] as u32;
    multiple.max(1).saturating_mul(NOMINAL_SLOWDOWN_PERMILLE)
}
