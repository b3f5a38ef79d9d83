//! Runs that take far longer than expected, or stand still.

use std::collections::BTreeMap;

use dfs_ids::Attempt;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::session::TaskRef;

use super::Agent;
use super::AgentAction;
use super::record::Progress;
use super::record::Record;
use super::record::Stage;

/// Stretch of a target that is as fast as expected.
pub(super) const NORMAL_PERMILLE: u32 = 1_000;
/// Shortest run that tells how fast the target is; shorter ones are mostly start-up.
const MIN_RUN_MS: Millis = Millis::new(40);
/// Fewest submissions whose runs tell how fast the target is: the expectation of a single one may be far
/// off, for all of its tasks alike.
const MIN_SUBMISSIONS: usize = 3;
/// Time without progress after which a run stands still, besides a part of its expected run time. A
/// target that is eight times slow still moves a run of several seconds by one hundredth in it.
const STILL_MS: Millis = Millis::new(400);
/// Part of the expected run time, as its reciprocal.
const STILL_PART: u64 = 10;
/// From this attempt on a run that stands still is left alone, since the expected run time may be far
/// too short.
const LAST_ATTEMPT: Attempt = Attempt::new(2);
const PERCENT: f64 = 100.0;

impl Agent {
    pub(super) fn on_progress(
        &mut self,
        now: Moment,
        progress: &[(TaskRef, u8)],
        out: &mut Vec<AgentAction>,
    ) {
        let mut stretches: BTreeMap<SubmissionId, f64> = BTreeMap::new();
        let mut still = Vec::new();
        for (task, percent) in progress {
            let Some(record) = self.records.get_mut(task) else {
                continue;
            };
            if let Some(stretch) = stretch(now, record, *percent) {
                let least = stretches.entry(task.submission.clone()).or_insert(stretch);
                *least = least.min(stretch);
            }
            if note(now, record, *percent) && task.attempt < LAST_ATTEMPT {
                still.push(task.clone());
            }
        }
        self.stretch_permille = median(stretches.into_values().collect());
        for task in still {
            self.stop_run(&task, "it stands still", out);
        }
    }
}

/// Run time over the expected one, as far as the run has come.
#[expect(
    clippy::cast_precision_loss,
    reason = "run times stay far below 2^52 ms"
)]
fn stretch(now: Moment, record: &Record, percent: u8) -> Option<f64> {
    let Stage::Running { started_at, .. } = record.stage else {
        return None;
    };
    let (elapsed_ms, declared_ms) = (now.since(started_at), record.terms.declared_ms);
    if elapsed_ms < MIN_RUN_MS || declared_ms == Millis::default() {
        return None;
    }
    let done = f64::from(percent.max(1)) / PERCENT;
    Some(elapsed_ms.get() as f64 / done / declared_ms.get() as f64)
}

/// Notes how far a run has come; true if it stands still.
fn note(now: Moment, record: &mut Record, percent: u8) -> bool {
    let still_ms = STILL_MS + Millis::new(record.terms.declared_ms.get() / STILL_PART);
    let Stage::Running { progress, .. } = &mut record.stage else {
        return false;
    };
    match progress {
        Some(known) if known.percent >= percent => now.since(known.since) >= still_ms,
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
fn median(mut stretches: Vec<f64>) -> u32 {
    if stretches.len() < MIN_SUBMISSIONS {
        return NORMAL_PERMILLE;
    }
    stretches.sort_by(f64::total_cmp);
    // Whole steps, so that entries are told only of changes that matter.
    let steps = stretches[(stretches.len() - 1) / 2] as u32;
    steps.max(1).saturating_mul(NORMAL_PERMILLE)
}
