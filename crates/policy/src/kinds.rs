//! Typical run times of kinds of work, relative to the declared ones, learnt from ended runs.

use std::collections::BTreeMap;

use dfs_wire::session::TypicalRuns;
use dfs_wire::session::WorkKind;

use crate::speed::SLOW_FACTOR;

/// Kinds that are remembered; the one with the fewest runs is dropped for a new one.
const MAX_KINDS: usize = 64;
/// Least weight of the newest run in the typical run time of a kind.
const MIN_KIND_WEIGHT: f64 = 0.02;
/// Runs from which the typical run time of a kind is known.
const MIN_RUNS: f64 = 5.0;
/// Fraction of runs that are assumed to take [`SLOW_FACTOR`] times as long as typical ones, and the number of
/// runs as which this assumption counts.
const PRIOR_LONG_FRACTION: f64 = 0.05;
const PRIOR_RUNS: f64 = 10.0;
/// Least change of a logarithm that is published: a quarter.
const MIN_LOG_CHANGE: f64 = 0.22;
const PERMILLE: f64 = 1_000.0;

/// Typical run times by kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct KindTracker {
    kinds: BTreeMap<WorkKind, Kind>,
    revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kind {
    /// Logarithm of the typical run time over the declared one.
    log_ratio: f64,
    runs: f64,
    /// Fraction of runs that take at least [`SLOW_FACTOR`] times as long as typical ones.
    long_fraction: f64,
    /// `log_ratio` and the logarithm of `long_fraction` as they were published last.
    published: Option<(f64, f64)>,
    /// Revision in which they were published.
    revision: u64,
}

impl KindTracker {
    /// Adds a run and returns the deviation of its logarithm from the typical one before. Deviations count up
    /// to `limit`.
    pub fn record(&mut self, kind: &WorkKind, log_ratio: f64, limit: f64) -> f64 {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            let fewest = self
                .kinds
                .iter()
                .min_by(|a, b| a.1.runs.total_cmp(&b.1.runs));
            if let Some(fewest) = fewest.map(|(kind, _)| kind.clone()) {
                self.kinds.remove(&fewest);
            }
        }
        let known = self.kinds.entry(kind.clone()).or_insert(Kind {
            log_ratio,
            runs: 0.0,
            long_fraction: PRIOR_LONG_FRACTION,
            published: None,
            revision: 0,
        });
        let deviation = log_ratio - known.log_ratio;
        known.runs = (known.runs + 1.0).min(1.0 / MIN_KIND_WEIGHT);
        known.log_ratio += deviation.clamp(-limit, limit) / known.runs;
        let is_long = f64::from(u8::from(deviation >= SLOW_FACTOR.ln()));
        known.long_fraction += (is_long - known.long_fraction) / (known.runs + PRIOR_RUNS);
        let values = (known.log_ratio, known.long_fraction.ln());
        let is_published = known.published.is_some_and(|(ratio, long)| {
            (ratio - values.0).abs() < MIN_LOG_CHANGE
                && (long - values.1).abs() < 2.0 * MIN_LOG_CHANGE
        });
        if known.runs >= MIN_RUNS && !is_published {
            self.revision += 1;
            known.published = Some(values);
            known.revision = self.revision;
        }
        deviation
    }

    /// Logarithm of the typical run time over the declared one; `None` while unknown.
    pub fn log_ratio(&self, kind: &WorkKind) -> Option<f64> {
        let known = self.kinds.get(kind).filter(|known| known.is_known());
        known.map(|known| known.log_ratio)
    }

    /// Fraction of the runs of a kind that take far longer than typical ones.
    pub fn long_fraction(&self, kind: &WorkKind) -> f64 {
        let known = self.kinds.get(kind);
        known.map_or(PRIOR_LONG_FRACTION, |known| known.long_fraction)
    }

    pub fn log_ratios(&self) -> impl Iterator<Item = f64> {
        let known = self.kinds.values().filter(|known| known.is_known());
        known.map(|known| known.log_ratio)
    }

    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// What was published after a revision; `log_factor` is added to all ratios.
    pub fn typical_since(&self, revision: u64, log_factor: f64) -> Vec<TypicalRuns> {
        let newer = self
            .kinds
            .iter()
            .filter(|(_, known)| known.revision > revision);
        newer
            .map(|(kind, known)| TypicalRuns {
                kind: kind.clone(),
                ratio_permille: permille((known.log_ratio + log_factor).exp()),
                long_permille: permille(known.long_fraction),
            })
            .collect()
    }
}

impl Kind {
    fn is_known(&self) -> bool {
        self.runs >= MIN_RUNS
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number; a larger one saturates"
)]
fn permille(value: f64) -> u32 {
    (value * PERMILLE).ceil() as u32
}
