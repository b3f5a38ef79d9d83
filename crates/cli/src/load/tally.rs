//! Counts and histograms of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::mix::Mix;
use super::outcome::End;
use super::outcome::EndedSubmission;
use super::outcome::OutcomeKind;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest value that a histogram distinguishes; larger ones are recorded as this value.
const MAX_RECORDED_VALUE: u64 = 10_000_000_000;
/// Steps per unit in the ratio histogram: it counts in thousandths of the ideal response time.
pub const RATIO_SCALE: u64 = 1_000;

/// Counts and histograms of one load run.
#[derive(Debug)]
pub struct Tally {
    /// All submissions.
    pub overall: ScopeTally,
    /// By index of the group in the mix.
    pub groups: Vec<ScopeTally>,
    /// By index of the class in the mix.
    pub classes: Vec<ScopeTally>,
    /// By outcome, and by whether it is certain that no task ran.
    pub outcomes: BTreeMap<(OutcomeKind, bool), Count>,
    /// Time from scheduled arrival to sending, in microseconds.
    pub send_lag_us: Histogram<u64>,
    /// Time from the start until the last submission ended.
    pub elapsed: Duration,
}

/// Number and size of submissions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    /// Number of submissions.
    pub submissions: u64,
    /// Number of their tasks.
    pub tasks: u64,
    /// Sum of the run times of their tasks.
    pub work: Duration,
}

/// Counts and response times of one group, one class or all submissions.
#[derive(Debug)]
pub struct ScopeTally {
    /// All submissions that arrived, sent or not.
    pub arrived: Count,
    /// Submissions with a complete, correct answer.
    pub complete: Count,
    /// Submissions of which it is certain that no task ran.
    pub not_run: Count,
    /// Response time of complete submissions, in thousandths of the ideal.
    pub ratio: Histogram<u64>,
    /// Response time of complete submissions in excess of the ideal, in microseconds.
    pub excess_us: Histogram<u64>,
}

impl Count {
    fn record(&mut self, ended: &EndedSubmission) {
        self.submissions += 1;
        self.tasks += ended.tasks as u64;
        self.work += ended.work;
    }
}

impl ScopeTally {
    fn new() -> Self {
        Self {
            arrived: Count::default(),
            complete: Count::default(),
            not_run: Count::default(),
            ratio: histogram(),
            excess_us: histogram(),
        }
    }

    fn record(&mut self, ended: &EndedSubmission) {
        self.arrived.record(ended);
        match ended.end {
            End::Complete { response, ideal } => {
                self.complete.record(ended);
                self.ratio.saturating_record(ratio(response, ideal));
                let excess = response.saturating_sub(ideal);
                self.excess_us.saturating_record(micros(excess));
            }
            End::Other { not_run: true, .. } => self.not_run.record(ended),
            End::Other { .. } => {}
        }
    }
}

impl Tally {
    /// Returns an empty tally for the groups and classes of a mix.
    #[must_use]
    pub fn new(mix: &Mix) -> Self {
        Self {
            overall: ScopeTally::new(),
            groups: mix.groups.iter().map(|_| ScopeTally::new()).collect(),
            classes: mix.classes.iter().map(|_| ScopeTally::new()).collect(),
            outcomes: BTreeMap::new(),
            send_lag_us: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    /// Records a submission that ended `elapsed` after the start.
    pub fn record(&mut self, ended: &EndedSubmission, elapsed: Duration) {
        self.overall.record(ended);
        self.groups[ended.group].record(ended);
        self.classes[ended.class].record(ended);
        let count = self.outcomes.entry(ended.end.kind()).or_default();
        count.record(ended);
        self.send_lag_us.saturating_record(micros(ended.send_lag));
        self.elapsed = self.elapsed.max(elapsed);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn ratio(response: Duration, ideal: Duration) -> u64 {
    let ideal_us = micros(ideal).max(1);
    micros(response).saturating_mul(RATIO_SCALE) / ideal_us
}
