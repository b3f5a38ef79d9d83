//! Response times of one group, one class or all.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::per;
use crate::load::tally::RATIO_UNITS;
use crate::load::tally::Scope;

/// Microseconds of a millisecond.
pub const MICROS_PER_MILLI: u64 = 1_000;
/// Each bar of the printed histogram ends this much above the one before.
const BAR_GROWTH: f64 = 1.1;

/// Counts and response times; only complete submissions have one.
#[derive(Debug, Serialize)]
pub struct ScopeReport {
    /// Submissions that arrived.
    pub submissions: u64,
    /// Those answered whole.
    pub complete: u64,
    /// Those that certainly did not run.
    pub not_run: u64,
    /// Response time over the ideal.
    pub ratio: Option<Summary>,
    /// Response time less the ideal.
    pub beyond_ideal_ms: Option<Summary>,
    /// Histogram of response time over the ideal.
    pub ratio_histogram: Vec<Bar>,
}

/// The usual figures of a distribution.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

/// One bar of a histogram.
#[derive(Debug, Serialize)]
pub struct Bar {
    /// Highest ratio that it counts.
    pub up_to: f64,
    /// Submissions above the bar before and up to this ratio.
    pub submissions: u64,
}

impl ScopeReport {
    /// Sums up a scope.
    #[must_use]
    pub fn new(scope: &Scope) -> Self {
        Self {
            submissions: scope.arrived.submissions,
            complete: scope.complete.submissions,
            not_run: scope.not_run.submissions,
            ratio: summary(&scope.ratio, RATIO_UNITS),
            beyond_ideal_ms: summary(&scope.beyond_us, MICROS_PER_MILLI),
            ratio_histogram: bars(&scope.ratio),
        }
    }
}

/// Figures of a histogram, or none if it is empty.
pub fn summary(histogram: &Histogram<u64>, units: u64) -> Option<Summary> {
    (!histogram.is_empty()).then(|| Summary {
        mean: histogram.mean() / per(units, 1),
        p50: per(histogram.value_at_quantile(0.5), units),
        p99: per(histogram.value_at_quantile(0.99), units),
        max: per(histogram.max(), units),
    })
}

fn bars(histogram: &Histogram<u64>) -> Vec<Bar> {
    histogram
        .iter_log(RATIO_UNITS, BAR_GROWTH)
        .filter(|bar| bar.count_since_last_iteration() > 0)
        .map(|bar| Bar {
            up_to: per(bar.value_iterated_to(), RATIO_UNITS),
            submissions: bar.count_since_last_iteration(),
        })
        .collect()
}
