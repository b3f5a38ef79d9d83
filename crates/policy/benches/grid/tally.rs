//! Response times and messages of one run.

use std::collections::BTreeMap;

use dfs_ids::GroupId;

use super::mix::to_f64;

/// One submission that was answered whole.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time from submission to answer, in microseconds.
    pub response_us: u64,
    /// Slowest run time and one round trip, in microseconds.
    pub ideal_us: u64,
    /// Its tasks.
    pub tasks: usize,
    /// Whether the free slots could take all its tasks when it arrived.
    pub fitted: bool,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    /// It certainly did not run.
    Refused,
    /// Some of it may have run.
    Failed,
}

/// One answer.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    pub outcome: Outcome,
    /// Time since the submission, in microseconds.
    pub latency_us: u64,
}

/// What one run found.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Submissions that were answered whole.
    pub samples: Vec<Sample>,
    /// Submissions refused or failed.
    pub failed: u64,
    /// Those that certainly did not run.
    pub not_run: u64,
    /// Messages between entries and agents.
    pub messages: u64,
    /// Tasks that ran.
    pub tasks: u64,
    /// Run time of the tasks of submissions answered while others arrive, in microseconds.
    pub useful_us: u64,
    /// Slots times duration, in microseconds.
    pub capacity_us: u64,
    /// Tasks started at the first agent.
    pub tasks_at_first_agent: u64,
    /// Busy time of each group in each window, in microseconds.
    pub busy_us: BTreeMap<(GroupId, u64), u64>,
    /// All answers by workload.
    pub responses: BTreeMap<&'static str, Vec<Response>>,
}

/// Length of a window.
pub const WINDOW_US: u64 = 10_000_000;

/// Least number of tasks of a wide job.
const WIDE_TASKS: usize = 160;

/// Titles of [`Tally::format_row`].
pub const HEADER: &str = "   mean    p50    p99 | fit mean  wait p50  p99 ms | wide p99 | \
                          msg/task | useful | failed (not run)";

impl Tally {
    /// Adds another run.
    pub fn merge(&mut self, other: Self) {
        self.samples.extend(other.samples);
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.messages += other.messages;
        self.tasks += other.tasks;
        self.useful_us += other.useful_us;
        self.capacity_us += other.capacity_us;
        self.tasks_at_first_agent += other.tasks_at_first_agent;
    }

    /// Adds an answer to a workload's submission.
    pub fn record_response(&mut self, workload: &'static str, response: Response) {
        self.responses.entry(workload).or_default().push(response);
    }

    /// Adds a run to the busy time of its group, window by window.
    pub fn record_busy(&mut self, group: &GroupId, from_us: u64, run_us: u64) {
        let end = from_us + run_us;
        let mut at = from_us;
        while at < end {
            let window = at / WINDOW_US;
            let until = end.min((window + 1) * WINDOW_US);
            *self.busy_us.entry((group.clone(), window)).or_default() += until - at;
            at = until;
        }
    }

    /// The figures in one line.
    pub fn format_row(&self) -> String {
        let all = self.ratios(|_| true);
        let fitted = self.ratios(|sample| sample.fitted);
        let wide = self.ratios(|sample| sample.tasks >= WIDE_TASKS);
        let mut waits: Vec<f64> = self
            .samples
            .iter()
            .filter(|sample| sample.fitted)
            .map(|s| to_f64(s.response_us.saturating_sub(s.ideal_us)) / 1_000.0)
            .collect();
        waits.sort_by(f64::total_cmp);
        format!(
            "{:>7.3}{:>7.3}{:>7.2} |  {:>7.4}{:>10.2}{:>8.2} |{:>9.2} |{:>9.3} |{:>7.3} | {} ({})",
            mean(&all),
            quantile(&all, 0.5),
            quantile(&all, 0.99),
            mean(&fitted),
            quantile(&waits, 0.5),
            quantile(&waits, 0.99),
            quantile(&wide, 0.99),
            to_f64(self.messages) / to_f64(self.tasks.max(1)),
            to_f64(self.useful_us) / to_f64(self.capacity_us.max(1)),
            self.failed,
            self.not_run,
        )
    }

    fn ratios(&self, keep: impl Fn(&Sample) -> bool) -> Vec<f64> {
        let kept = self.samples.iter().filter(|sample| keep(sample));
        let mut ratios: Vec<f64> = kept
            .map(|s| to_f64(s.response_us) / to_f64(s.ideal_us))
            .collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / to_f64(values.len().max(1) as u64)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index below the length"
)]
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (to_f64(last as u64) * part).ceil() as usize;
    sorted.get(index).copied().unwrap_or_default()
}
