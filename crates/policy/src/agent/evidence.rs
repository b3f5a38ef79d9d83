//! Whether the target is slow, judged from its runs one by one.
//!
//! Among the tasks that run at a moment, long ones are over-represented, and all tasks of a submission share the
//! error of its declared run time. So each run counts once, in the order in which runs show their speed, and the
//! evidence is a cumulative sum of log likelihood ratios: long runs must come in an unlikely number without
//! typical ones in between before the target is slow.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::session::TypicalRuns;
use dfs_wire::session::WorkKind;

use super::record::Judgement;
use super::record::Progress;
use super::record::TaskRecord;
use crate::kinds::KindTracker;
use crate::speed::SLOW_FACTOR;

/// Elapsed time from which a run is judged; before it, start-up dominates the run.
pub(super) const MIN_ELAPSED_MS: Millis = Millis::new(40);
/// Time that the start of a run may take before it makes progress.
const START_UP_MS: f64 = 20.0;
/// Progress from which the pace of a run is known: whole percents are up to a third off there.
const MIN_PACE_PERCENT: u8 = 3;
/// Evidence from which the target is slow: odds of a million to one that so many long runs come by chance. With
/// 70 starts a second on a target and 3% of long runs, a false verdict is expected once in some hours.
const SLOW_EVIDENCE: f64 = 13.8;
/// Evidence below which a slow target is no longer slow: one or two typical runs, since an idle slow target gets
/// only single ones.
const RECOVERED_EVIDENCE: f64 = 0.8 * SLOW_EVIDENCE;
/// Odds that a run falls far behind its own pace on a target that is not slow.
const DROP_PROBABILITY: f64 = 0.01;
/// Least assumed fraction of long runs, also if none was seen.
const MIN_LONG_FRACTION: f64 = 0.02;
/// Factor up to which a target may be slower than others without being judged for it.
const MAX_KNOWN_FACTOR: f64 = 2.0;
/// Kinds whose typical run times are remembered.
const MAX_KINDS: usize = 64;
/// Submissions of which a counted long run is remembered; more than it takes to find the target slow.
const MAX_LONG_SUBMISSIONS: usize = 16;
/// Limit of the logarithmic deviation of a single run when the own run times are learnt.
const MAX_OWN_DEVIATION: f64 = 0.7;
const PERMILLE: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

/// What is known of the speed of the target.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Typical run times on all targets, as entries have sent them.
    typical: BTreeMap<WorkKind, TypicalRuns>,
    /// Run times on this target.
    own: KindTracker,
    /// Cumulative sum of log likelihood ratios, at least zero.
    sum: f64,
    /// Submissions of which a long run was counted last. The declared run time of a submission is equally wrong for
    /// all of its tasks, so that they count once.
    long: VecDeque<SubmissionId>,
    is_slow: bool,
}

/// Run time to expect of a kind.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expected {
    /// Over the declared one.
    ratio: f64,
    long_fraction: f64,
}

/// What the progress or the end of one run shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Sign {
    Typical {
        weight: f64,
    },
    /// Slow since its start. The declared run time of its submission may be to blame.
    Long {
        weight: f64,
    },
    /// Slow compared with its own earlier pace.
    Dropped,
}

impl Evidence {
    pub fn learn_typical(&mut self, runs: &TypicalRuns) {
        if self.typical.len() < MAX_KINDS || self.typical.contains_key(&runs.kind) {
            self.typical.insert(runs.kind.clone(), runs.clone());
        }
    }

    /// Drops what is known of the target; typical run times on all targets are kept.
    pub fn forget_target(&mut self) {
        let typical = std::mem::take(&mut self.typical);
        *self = Self {
            typical,
            ..Self::default()
        };
    }

    /// Records an ended run of a kind.
    pub fn record_end(&mut self, kind: &WorkKind, ratio: f64) {
        let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
        self.own.record(kind, log_ratio, MAX_OWN_DEVIATION);
    }

    /// Run time to expect on this target while it is not slow: the typical one of all targets, corrected by what is
    /// known of this one. `None` if nothing is known of the kind; a declared run time alone shows nothing.
    pub fn expected(&self, kind: &WorkKind) -> Option<Expected> {
        let own = self.own.log_ratio(kind).map(f64::exp);
        let Some(typical) = self.typical.get(kind) else {
            let long_fraction = self.own.long_fraction(kind).max(MIN_LONG_FRACTION);
            return own.map(|ratio| Expected {
                ratio,
                long_fraction,
            });
        };
        let ratio = f64::from(typical.ratio_permille) / PERMILLE;
        let long_fraction = f64::from(typical.long_permille) / PERMILLE;
        Some(Expected {
            ratio: own.map_or(ratio, |own| own.clamp(ratio, ratio * MAX_KNOWN_FACTOR)),
            long_fraction: long_fraction.clamp(MIN_LONG_FRACTION, 0.5),
        })
    }

    /// Counts what a run of a submission shows.
    pub fn add(&mut self, submission: &SubmissionId, sign: Sign) {
        if matches!(sign, Sign::Long { .. }) {
            if self.long.contains(submission) {
                return;
            }
            self.long.truncate(MAX_LONG_SUBMISSIONS - 1);
            self.long.push_front(submission.clone());
        }
        let weight = match sign {
            Sign::Typical { weight } => -weight,
            Sign::Long { weight } => weight,
            Sign::Dropped => -DROP_PROBABILITY.ln(),
        };
        self.sum = (self.sum + weight).clamp(0.0, SLOW_EVIDENCE);
        let limit = if self.is_slow {
            RECOVERED_EVIDENCE
        } else {
            SLOW_EVIDENCE
        };
        self.is_slow = self.sum >= limit;
    }

    pub const fn is_slow(&self) -> bool {
        self.is_slow
    }
}

impl Expected {
    /// Expected run time over the declared one.
    pub const fn ratio(self) -> f64 {
        self.ratio
    }

    fn weight(self) -> f64 {
        -self.long_fraction.ln()
    }
}

/// Judges an ended run; `None` if its progress has shown the same before.
pub(super) fn judge_end(
    judgement: Judgement,
    ratio: f64,
    expected: Option<Expected>,
) -> Option<Sign> {
    let expected = expected?;
    let weight = expected.weight();
    let is_long = ratio / expected.ratio >= SLOW_FACTOR;
    match judgement {
        Judgement::Open if is_long => Some(Sign::Long { weight }),
        Judgement::Open | Judgement::Long if !is_long => Some(Sign::Typical { weight }),
        _ => None,
    }
}

/// Judges a run by its progress, of which at least `percent` and less than one percent more is done.
pub(super) fn judge_progress(
    now: Moment,
    started_at: Moment,
    record: &TaskRecord,
    progress: &Progress,
    percent: u8,
    expected: Option<Expected>,
) -> Option<Sign> {
    if let Some(factor) = pace_factor(now, started_at, progress, percent) {
        let typical = || Sign::Typical {
            weight: expected.map_or(-DROP_PROBABILITY.ln(), Expected::weight),
        };
        match progress.judgement {
            Judgement::Dropped if factor.most < SLOW_FACTOR => return Some(typical()),
            Judgement::Open | Judgement::Typical | Judgement::Long
                if factor.least >= SLOW_FACTOR =>
            {
                return Some(Sign::Dropped);
            }
            _ => {}
        }
    }
    let expected = expected?;
    let declared_ms = millis(record.terms.declared_ms);
    let elapsed_ms = millis(now.since(started_at));
    if declared_ms == 0.0 || elapsed_ms < millis(MIN_ELAPSED_MS) {
        return None;
    }
    let percent_ms = declared_ms * expected.ratio / PERCENT;
    let least = (elapsed_ms - START_UP_MS) / (f64::from(percent) + 1.0) / percent_ms;
    let most = elapsed_ms / f64::from(percent) / percent_ms;
    let weight = expected.weight();
    match progress.judgement {
        Judgement::Open if least >= SLOW_FACTOR => Some(Sign::Long { weight }),
        Judgement::Open | Judgement::Long if most < SLOW_FACTOR => Some(Sign::Typical { weight }),
        _ => None,
    }
}

/// Bounds of a factor; progress is known to whole percents only.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub least: f64,
    pub most: f64,
}

/// By how much a run is slower than it was up to the last time that it kept its pace; `None` while its pace is
/// unknown or too little time has passed.
pub(super) fn pace_factor(
    now: Moment,
    started_at: Moment,
    progress: &Progress,
    percent: u8,
) -> Option<Bounds> {
    let waited_ms = now.since(progress.pace_at);
    let pace_ms = pace_ms(started_at, progress)?;
    let advanced = f64::from(percent.saturating_sub(progress.pace_percent));
    (waited_ms >= MIN_ELAPSED_MS).then(|| Bounds {
        least: millis(waited_ms) / (advanced + 1.0) / pace_ms,
        most: millis(waited_ms) / advanced / pace_ms,
    })
}

/// Time that a run takes for one percent; `None` while unknown.
pub(super) fn pace_ms(started_at: Moment, progress: &Progress) -> Option<f64> {
    let is_known = progress.pace_percent >= MIN_PACE_PERCENT;
    let elapsed_ms = millis(progress.pace_at.since(started_at)).max(1.0);
    is_known.then(|| elapsed_ms / f64::from(progress.pace_percent))
}

/// Whether the progress is the first to show the pace of the run.
pub(super) const fn shows_pace(progress: &Progress, percent: u8) -> bool {
    progress.pace_percent < MIN_PACE_PERCENT && percent >= MIN_PACE_PERCENT
}

#[expect(
    clippy::cast_precision_loss,
    reason = "run times stay far below 2^52 ms"
)]
pub(super) fn millis(ms: Millis) -> f64 {
    ms.get() as f64
}
