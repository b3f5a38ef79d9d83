//! Response-time statistics of one group, one class or all submissions.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::quotient;
use crate::load::tally::RATIO_SCALE;
use crate::load::tally::ScopeTally;

/// Microseconds per millisecond.
pub const MICROS_PER_MILLI: u64 = 1_000;
/// Ratio of the upper bounds of consecutive histogram bars.
const BAR_GROWTH: f64 = 1.1;

/// Counts and response times; response times cover only complete submissions.
#[derive(Debug, Serialize)]
pub struct ScopeReport {
    /// Number of submissions that arrived.
    pub submissions: u64,
    /// Number with a complete, correct answer.
    pub complete: u64,
    /// Number of which it is certain that no task ran.
    pub not_run: u64,
    /// Response time divided by the ideal.
    pub ratio: Option<Summary>,
    /// Response time minus the ideal, or zero if it was shorter.
    pub beyond_ideal_ms: Option<Summary>,
    /// Histogram of response time divided by the ideal; empty bars are left out.
    pub ratio_histogram: Vec<Bar>,
}

/// Summary statistics of a distribution.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// One bar of a histogram.
#[derive(Debug, Serialize)]
pub struct Bar {
    /// Upper bound of the bar, inclusive.
    pub up_to: f64,
    /// Number of submissions above the previous bar's bound and up to this one.
    pub submissions: u64,
}

impl ScopeReport {
    /// Builds the report of a scope.
    #[must_use]
    pub fn new(scope: &ScopeTally) -> Self {
        Self {
            submissions: scope.arrived.submissions,
            complete: scope.complete.submissions,
            not_run: scope.not_run.submissions,
            ratio: summary(&scope.ratio, RATIO_SCALE),
            beyond_ideal_ms: summary(&scope.excess_us, MICROS_PER_MILLI),
            ratio_histogram: bars(&scope.ratio),
        }
    }
}

/// Summarises a histogram whose values are multiplied by `scale`; `None` if it is empty.
pub fn summary(histogram: &Histogram<u64>, scale: u64) -> Option<Summary> {
    (!histogram.is_empty()).then(|| Summary {
        mean: histogram.mean() / quotient(scale, 1),
        p50: quotient(histogram.value_at_quantile(0.5), scale),
        p99: quotient(histogram.value_at_quantile(0.99), scale),
        max: quotient(histogram.max(), scale),
    })
}

fn bars(histogram: &Histogram<u64>) -> Vec<Bar> {
    histogram
        .iter_log(RATIO_SCALE, BAR_GROWTH)
        .filter(|bar| bar.count_since_last_iteration() > 0)
        .map(|bar| Bar {
            up_to: quotient(bar.value_iterated_to(), RATIO_SCALE),
            submissions: bar.count_since_last_iteration(),
        })
        .collect()
}
