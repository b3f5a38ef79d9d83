//! Detects slow targets and stalled runs from the progress of runs.

use dfs_ids::Attempt;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TaskRef;
use dfs_wire::session::WorkKind;

use super::Agent;
use super::AgentAction;
use super::evidence::Expected;
use super::evidence::Sign;
use super::evidence::judge_end;
use super::evidence::judge_progress;
use super::evidence::millis;
use super::evidence::pace_factor;
use super::evidence::pace_ms;
use super::evidence::shows_pace;
use super::record::Judgement;
use super::record::Progress;
use super::record::Stage;
use super::record::TaskRecord;
use crate::speed::SLOW_FACTOR;

/// Slowdown of a target on which runs take as long as expected.
pub(super) const NOMINAL_SLOWDOWN_PERMILLE: u32 = 1_000;
/// Time without progress after which a run counts as stalled, to which a fraction of its run time is added.
/// Within this time a run of several seconds advances by one percent even on a target that is eight times
/// slower than expected.
const MIN_STALL_TIMEOUT_MS: Millis = Millis::new(400);
/// The stall timeout is increased by the declared run time divided by this, or by the time in which the run has
/// advanced by as large a part before: the declared run time may be far too short.
const STALL_TIMEOUT_DIVISOR: u64 = 10;
/// Percents in that part.
const STALL_TIMEOUT_PERCENTS: f64 = 10.0;
/// Stalled runs of this and later attempts are not stopped, since the declared run time may be far too
/// short.
const FIRST_EXEMPT_ATTEMPT: Attempt = Attempt::new(2);
/// Time between two events from which the process is taken to have been paused; it ticks every 20 ms.
const MIN_PAUSE_MS: Millis = Millis::new(100);
/// Time after a pause in which progress is ignored: it may have been received before or during the pause, and
/// would make all runs look slow.
const STALE_PROGRESS_MS: Millis = Millis::new(40);
/// Factor by which a slowdown must change to be reported anew.
const REPORTED_CHANGE: u32 = 2;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl Agent {
    pub(super) fn on_progress(
        &mut self,
        now: Moment,
        progress: &[(TaskRef, u8)],
        out: &mut Vec<AgentAction>,
    ) {
        if now.since(self.resumed_at) < STALE_PROGRESS_MS {
            return;
        }
        let mut stalled = Vec::new();
        for (task, percent) in progress {
            let Some(record) = self.records.get_mut(task) else {
                continue;
            };
            let expected = self.evidence.expected(&kind(record));
            let Some(update) = update_progress(now, record, *percent, |record, progress, start| {
                judge_progress(now, start, record, progress, *percent, expected)
            }) else {
                continue;
            };
            if update.is_stalled && task.attempt < FIRST_EXEMPT_ATTEMPT {
                stalled.push(task.clone());
            }
            if let Some(sign) = update.sign {
                self.evidence.add(&task.submission, sign);
            }
        }
        self.update_slowdown(now);
        for task in stalled {
            self.stop_run(&task, "run stalled", out);
        }
    }

    /// Notes when the process has been paused.
    pub(super) fn record_event(&mut self, now: Moment) {
        if now.since(self.last_event_at) >= MIN_PAUSE_MS {
            self.resumed_at = now;
        }
        self.last_event_at = now;
    }

    /// Counts a run that has ended well.
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    pub(super) fn record_ended_run(&mut self, now: Moment, task: &TaskRef, run_us: u64) {
        let Some(record) = self.records.get(task) else {
            return;
        };
        let declared_ms = millis(record.terms.declared_ms);
        let Stage::Running { progress, .. } = &record.stage else {
            return;
        };
        if declared_ms == 0.0 {
            return;
        }
        let ratio = run_us.max(1) as f64 / MICROS_PER_MILLI / declared_ms;
        let judgement = progress.map_or(Judgement::Open, |progress| progress.judgement);
        let kind = kind(record);
        let sign = judge_end(judgement, ratio, self.evidence.expected(&kind));
        self.evidence.record_end(&kind, ratio);
        if let Some(sign) = sign {
            self.evidence.add(&task.submission, sign);
            self.update_slowdown(now);
        }
    }

    /// Sets the slowdown to report: that of the median run among those that are slow.
    fn update_slowdown(&mut self, now: Moment) {
        if !self.evidence.is_slow() {
            self.slowdown_permille = NOMINAL_SLOWDOWN_PERMILLE;
            return;
        }
        let factors = self.records.values().filter_map(|record| {
            let expected = self.evidence.expected(&kind(record));
            slow_factor(now, record, expected.map_or(1.0, Expected::ratio))
        });
        let median = median_permille(factors.collect());
        let is_reported = self.slowdown_permille > NOMINAL_SLOWDOWN_PERMILLE
            && median < self.slowdown_permille.saturating_mul(REPORTED_CHANGE);
        if !is_reported {
            self.slowdown_permille = median;
        }
    }
}

fn kind(record: &TaskRecord) -> WorkKind {
    WorkKind::new(record.origin.queue.as_ref(), &record.service)
}

/// What a report on the progress of a run shows.
struct Update {
    is_stalled: bool,
    sign: Option<Sign>,
}

/// Records the progress of a run; `None` if it does not run or is being stopped.
fn update_progress(
    now: Moment,
    record: &mut TaskRecord,
    percent: u8,
    judge: impl FnOnce(&TaskRecord, &Progress, Moment) -> Option<Sign>,
) -> Option<Update> {
    let Stage::Running {
        started_at,
        is_stopping: false,
        progress,
        ..
    } = record.stage
    else {
        return None;
    };
    let mut known = progress.unwrap_or_else(|| Progress::new(percent, now));
    let sign = judge(record, &known, started_at);
    known.judgement = match sign {
        Some(Sign::Typical { .. }) => Judgement::Typical,
        Some(Sign::Long { .. }) => Judgement::Long,
        Some(Sign::Dropped) => Judgement::Dropped,
        None => known.judgement,
    };
    let factor = pace_factor(now, started_at, &known, percent);
    let keeps_pace = factor.is_some_and(|factor| factor.most < SLOW_FACTOR);
    if keeps_pace || shows_pace(&known, percent) {
        (known.pace_at, known.pace_percent) = (now, percent);
    }
    let is_stalled = if percent > known.percent {
        (known.percent, known.since) = (percent, now);
        false
    } else {
        now.since(known.since) >= stall_timeout_ms(record, started_at, &known)
    };
    if let Stage::Running { progress, .. } = &mut record.stage {
        *progress = Some(known);
    }
    Some(Update { is_stalled, sign })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of milliseconds"
)]
fn stall_timeout_ms(record: &TaskRecord, started_at: Moment, progress: &Progress) -> Millis {
    let declared_ms = Millis::new(record.terms.declared_ms.get() / STALL_TIMEOUT_DIVISOR);
    let paced_ms = pace_ms(started_at, progress).map_or(0.0, |ms| ms * STALL_TIMEOUT_PERCENTS);
    MIN_STALL_TIMEOUT_MS + declared_ms.max(Millis::new(paced_ms as u64))
}

/// By how much a run that was found to be slow is slower than expected, or than before.
fn slow_factor(now: Moment, record: &TaskRecord, expected_ratio: f64) -> Option<f64> {
    let Stage::Running {
        started_at,
        progress: Some(progress),
        ..
    } = record.stage
    else {
        return None;
    };
    let declared_ms = millis(record.terms.declared_ms);
    match progress.judgement {
        Judgement::Open | Judgement::Typical => None,
        Judgement::Long if declared_ms == 0.0 => None,
        Judgement::Long => {
            let projected_ms =
                millis(now.since(started_at)) * 100.0 / (f64::from(progress.percent) + 1.0);
            Some(projected_ms / declared_ms / expected_ratio)
        }
        Judgement::Dropped => {
            pace_factor(now, started_at, &progress, progress.percent).map(|factor| factor.least)
        }
    }
}

/// Median in thousandths, truncated to whole multiples, so that entries receive only significant changes.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number; a larger one saturates"
)]
fn median_permille(mut factors: Vec<f64>) -> u32 {
    factors.sort_by(f64::total_cmp);
    let median = factors.get(factors.len().saturating_sub(1) / 2);
    let multiple = median.map_or(SLOW_FACTOR, |median| median.max(SLOW_FACTOR)) as u32;
    multiple.saturating_mul(NOMINAL_SLOWDOWN_PERMILLE)
}
