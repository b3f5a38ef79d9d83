//! Counts and histograms of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::mix::Mix;
use super::outcome::End;
use super::outcome::OutcomeKind;
use super::outcome::Settled;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Highest value kept apart; above it a histogram holds this value.
const HIGHEST: u64 = 10_000_000_000;
/// Unit of the ratio histogram: a thousandth of the ideal.
pub const RATIO_UNITS: u64 = 1_000;

/// Everything that was counted.
#[derive(Debug)]
pub struct Tally {
    /// All submissions.
    pub overall: Scope,
    /// By index of the group in the mix.
    pub groups: Vec<Scope>,
    /// By index of the class in the mix.
    pub classes: Vec<Scope>,
    /// By kind, and by whether it is certain that nothing ran.
    pub outcomes: BTreeMap<(OutcomeKind, bool), Count>,
    /// Time between arrival and sending, in microseconds.
    pub send_lag_us: Histogram<u64>,
    /// Time from the start to the last end of a submission.
    pub elapsed: Duration,
}

/// Submissions and what they hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    /// Submissions.
    pub submissions: u64,
    /// Their tasks.
    pub tasks: u64,
    /// Sum of the run times of their tasks.
    pub work: Duration,
}

/// Submissions of one group, one class or all.
#[derive(Debug)]
pub struct Scope {
    /// Everything that arrived.
    pub arrived: Count,
    /// What was answered whole.
    pub complete: Count,
    /// What certainly did not run.
    pub not_run: Count,
    /// Response time of complete ones in thousandths of the ideal.
    pub ratio: Histogram<u64>,
    /// Response time of complete ones beyond the ideal, in microseconds.
    pub beyond_us: Histogram<u64>,
}

impl Count {
    fn add(&mut self, settled: &Settled) {
        self.submissions += 1;
        self.tasks += settled.tasks as u64;
        self.work += settled.work;
    }
}

impl Scope {
    fn new() -> Self {
        Self {
            arrived: Count::default(),
            complete: Count::default(),
            not_run: Count::default(),
            ratio: histogram(),
            beyond_us: histogram(),
        }
    }

    fn add(&mut self, settled: &Settled) {
        self.arrived.add(settled);
        match settled.end {
            End::Complete { response, ideal } => {
                self.complete.add(settled);
                self.ratio.saturating_record(ratio(response, ideal));
                let beyond = response.saturating_sub(ideal);
                self.beyond_us.saturating_record(micros(beyond));
            }
            End::Other { not_run: true, .. } => self.not_run.add(settled),
            End::Other { .. } => {}
        }
    }
}

impl Tally {
    /// An empty tally for the groups and classes of a mix.
    #[must_use]
    pub fn new(mix: &Mix) -> Self {
        Self {
            overall: Scope::new(),
            groups: mix.groups.iter().map(|_| Scope::new()).collect(),
            classes: mix.classes.iter().map(|_| Scope::new()).collect(),
            outcomes: BTreeMap::new(),
            send_lag_us: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    /// Adds a submission that ended at `elapsed` after the start.
    pub fn add(&mut self, settled: &Settled, elapsed: Duration) {
        self.overall.add(settled);
        self.groups[settled.group].add(settled);
        self.classes[settled.class].add(settled);
        let count = self.outcomes.entry(settled.end.kind()).or_default();
        count.add(settled);
        self.send_lag_us.saturating_record(micros(settled.send_lag));
        self.elapsed = self.elapsed.max(elapsed);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HIGHEST, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn ratio(response: Duration, ideal: Duration) -> u64 {
    let ideal_us = micros(ideal).max(1);
    micros(response).saturating_mul(RATIO_UNITS) / ideal_us
}
