//! Speed of targets and kinds of work, learnt from ended runs, and which targets are slow.
//!
//! Declared run times may be wrong for a kind of work or for single submissions, so a target is compared
//! with the others on the same kind of work. The logarithm of a run time over the declared one is taken as
//! the sum of the factor of its kind, that of its target, and noise.

use std::collections::BTreeMap;

use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TypicalRuns;
pub use dfs_wire::session::WorkKind;

use crate::kinds::KindTracker;

/// Multiple of the expected run time from which a target is slow. Run times of one kind vary too much for a
/// smaller factor.
pub const SLOW_FACTOR: f64 = 3.0;
/// Time since the last observation after which an idle slow target may get another task. A target that has
/// recovered stays unused for up to this long.
const RECHECK_MS: Millis = Millis::new(3_000);
/// Weight of the newest run in the estimate of a target: 20 new runs outweigh the older ones.
const MIN_TARGET_WEIGHT: f64 = 0.05;
/// Number of runs as which the assumption counts that a target is typical.
const PRIOR_RUNS: f64 = 2.0;
/// Time in which the evidence for the speed of an idle target halves.
const EVIDENCE_HALF_LIFE_MS: f64 = 60_000.0;
/// Runs in a row that deviate widely to the same side after which the speed of a target is taken to have
/// changed; a single long run must not have this effect.
const CHANGE_STREAK: i8 = 3;
/// Deviations are limited to this many standard deviations, so that a single long run has little weight.
const MAX_DEVIATIONS: f64 = 2.0;
/// Weight of the newest run in what is learnt of all targets together.
const POOL_WEIGHT: f64 = 0.01;
/// Variance of the logarithms of run times that is assumed before the first run, and the least one. Run
/// times that vary by 40% have a variance of 0.06.
const INITIAL_VARIANCE: f64 = 0.25;
const MIN_VARIANCE: f64 = 0.01;
/// Standard errors by which a deviation must exceed what it is compared with.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// Speeds as one entry has seen them, by the agent of each target and by kind of work.
#[derive(Debug, Clone)]
pub struct SpeedTracker {
    records: BTreeMap<AgentId, Record>,
    kinds: KindTracker,
    /// Mean of the estimates of the targets, weighted by their runs: that of a typical target.
    typical: f64,
    /// Variance of the logarithms of run times of one kind on one target.
    variance: f64,
    slow_targets: usize,
}

/// Whether a target is slow, and what has shown it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    None,
    /// Its ended runs; one that takes less than [`SLOW_FACTOR`] times as long as expected clears the mark.
    EndedRuns,
    /// The report of its agent on current runs; a later report clears the mark.
    Report,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    /// Logarithm of the factor by which run times are longer than expected of their kinds.
    estimate: f64,
    /// Number of runs that the estimate rests on.
    runs: f64,
    /// Runs in a row that deviate widely to the same side; negative if they are short.
    streak: i8,
    mark: Mark,
    /// When a run last ended or a report last showed that the target is slow.
    observed_at: Moment,
}

impl Default for SpeedTracker {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            kinds: KindTracker::default(),
            typical: 0.0,
            variance: INITIAL_VARIANCE,
            slow_targets: 0,
        }
    }
}

impl SpeedTracker {
    /// Records the run time of an ended run over the declared one. At most `max_slow` targets are slow at a
    /// time; if more seem to be, it is the expected run times that are too short.
    pub fn record_finished(
        &mut self,
        agent: &AgentId,
        kind: &WorkKind,
        ratio: f64,
        max_slow: usize,
        now: Moment,
    ) {
        let typical = self.typical;
        let limit = MAX_DEVIATIONS * self.variance.sqrt();
        let record = self
            .records
            .entry(agent.clone())
            .or_insert_with(|| Record::unknown(typical, now));
        let expected_of_kind = ratio.max(f64::MIN_POSITIVE).ln() - record.estimate;
        // The runs on a slow target are not typical of their kinds.
        let is_slow = record.mark != Mark::None;
        let deviation = if is_slow {
            let typical_of_kind = self.kinds.log_ratio(kind);
            typical_of_kind.map_or(0.0, |typical| expected_of_kind - typical)
        } else {
            self.kinds.record(kind, expected_of_kind, limit)
        };
        let over_typical = deviation + record.estimate - typical;
        record.add(now, deviation, limit);
        if !is_slow {
            self.typical += POOL_WEIGHT * (record.estimate - self.typical);
            let square = (deviation * deviation).min(limit * limit);
            self.variance += POOL_WEIGHT * (square - self.variance);
            self.variance = self.variance.max(MIN_VARIANCE);
        }
        let error = (self.variance / record.runs).sqrt();
        let least = record.estimate - self.typical - SIGNIFICANT_ERRORS * error;
        let mark = match record.mark {
            Mark::None if least >= SLOW_FACTOR.ln() => Mark::EndedRuns,
            Mark::EndedRuns if over_typical < SLOW_FACTOR.ln() => {
                *record = Record::unknown(self.typical, now);
                record.mark = Mark::EndedRuns;
                Mark::None
            }
            unchanged => unchanged,
        };
        self.set_mark(agent, mark, max_slow);
    }

    /// Records by which factor the current runs on a target are slower than typical ones, as its agent
    /// reports; 1 if nothing shows that they are.
    pub fn record_running(&mut self, agent: &AgentId, slowdown: f64, max_slow: usize, now: Moment) {
        let typical = self.typical;
        let record = self
            .records
            .entry(agent.clone())
            .or_insert_with(|| Record::unknown(typical, now));
        let mark = match record.mark {
            Mark::None | Mark::Report if slowdown >= SLOW_FACTOR => {
                record.observed_at = now;
                Mark::Report
            }
            Mark::Report => {
                // It has recovered; what its runs showed while it was slow holds no longer.
                if record.estimate - typical >= SLOW_FACTOR.ln() {
                    *record = Record::unknown(typical, now);
                    record.mark = Mark::Report;
                }
                Mark::None
            }
            unchanged => unchanged,
        };
        self.set_mark(agent, mark, max_slow);
    }

    /// Whether the target takes far longer than a typical one and needs no new run to check it.
    #[must_use]
    pub fn is_slow(&self, agent: &AgentId, outstanding_tasks: u32, now: Moment) -> bool {
        self.records.get(agent).is_some_and(|record| {
            let is_recheck_due =
                outstanding_tasks == 0 && now.since(record.observed_at) >= RECHECK_MS;
            record.mark != Mark::None && !is_recheck_due
        })
    }

    /// Expected run time on the agent's target over that on a typical one; 1 while unknown.
    ///
    /// A deviation that the noise of the run times explains counts for little, so that equal targets are
    /// taken for equal.
    #[must_use]
    pub fn relative_run_time(&self, agent: &AgentId, now: Moment) -> f64 {
        let Some(record) = self.records.get(agent) else {
            return 1.0;
        };
        let deviation = record.estimate - self.typical;
        let square = deviation * deviation;
        let runs = record.runs_at(now).max(f64::MIN_POSITIVE);
        let noise = SIGNIFICANT_ERRORS * SIGNIFICANT_ERRORS * self.variance / runs;
        (deviation * square / (square + noise)).exp()
    }

    /// Expected run time on a typical target over the declared one for this kind of work; 1 while unknown.
    #[must_use]
    pub fn declared_ratio(&self, kind: &WorkKind) -> f64 {
        let known = self.kinds.log_ratio(kind);
        known.map_or(1.0, |log_ratio| (log_ratio + self.typical).exp())
    }

    /// Largest ratio of a typical run time to the declared one over all kinds, at least 1.
    pub(crate) fn max_declared_ratio(&self) -> f64 {
        let largest = self.kinds.log_ratios().fold(0.0, f64::max);
        (largest + self.typical).exp().max(1.0)
    }

    /// Number that grows when typical run times have changed significantly.
    pub(crate) const fn revision(&self) -> u64 {
        self.kinds.revision()
    }

    /// Typical run times that have changed significantly since a revision.
    pub(crate) fn typical_since(&self, revision: u64) -> Vec<TypicalRuns> {
        self.kinds.typical_since(revision, self.typical)
    }

    /// Drops what is known of the target; a new incarnation of its agent starts as a typical one.
    pub fn remove(&mut self, agent: &AgentId) {
        let removed = self.records.remove(agent);
        self.slow_targets -= usize::from(removed.is_some_and(|r| r.mark != Mark::None));
    }

    fn set_mark(&mut self, agent: &AgentId, mark: Mark, max_slow: usize) {
        let Some(record) = self.records.get_mut(agent) else {
            return;
        };
        match (record.mark, mark) {
            (Mark::None, Mark::EndedRuns | Mark::Report) => {
                if self.slow_targets >= max_slow {
                    return;
                }
                self.slow_targets += 1;
            }
            (Mark::EndedRuns | Mark::Report, Mark::None) => self.slow_targets -= 1,
            _ => {}
        }
        record.mark = mark;
    }
}

impl Record {
    const fn unknown(typical: f64, now: Moment) -> Self {
        Self {
            estimate: typical,
            runs: 0.0,
            streak: 0,
            mark: Mark::None,
            observed_at: now,
        }
    }

    /// Adds a run that deviates from the estimate.
    fn add(&mut self, now: Moment, deviation: f64, limit: f64) {
        self.runs = self.runs_at(now);
        self.streak = match deviation {
            d if d >= limit => self.streak.max(0).saturating_add(1),
            d if d <= -limit => self.streak.min(0).saturating_sub(1),
            _ => 0,
        };
        let has_changed = self.streak.unsigned_abs() >= CHANGE_STREAK.unsigned_abs();
        if has_changed {
            self.runs = self.runs.min(1.0);
        }
        let weight = (1.0 / (self.runs + 1.0 + PRIOR_RUNS)).max(MIN_TARGET_WEIGHT);
        let step = if has_changed {
            deviation
        } else {
            deviation.clamp(-limit, limit)
        };
        self.estimate += weight * step;
        self.runs = (self.runs + 1.0).min(1.0 / MIN_TARGET_WEIGHT);
        self.observed_at = now;
    }

    #[expect(clippy::cast_precision_loss, reason = "times stay far below 2^52 ms")]
    fn runs_at(&self, now: Moment) -> f64 {
        let age_ms = now.since(self.observed_at).get() as f64;
        self.runs * (-age_ms / EVIDENCE_HALF_LIFE_MS).exp2()
    }
}
