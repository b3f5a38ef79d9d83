//! The report of a load.

mod scope;
mod table;

use std::time::Duration;

use dfs_ids::Millis;
use serde::Serialize;

use super::counter::CounterError;
use super::counter::MessageCount;
use super::mix::ClassName;
use super::mix::Mix;
use super::outcome::ObservedOutcome;
use super::outcome::OutcomeKind;
use super::tally::Count;
use super::tally::Tally;

use self::scope::ScopeReport;
use self::scope::Summary;

/// Results of a load; the field names are the keys of the JSON output.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Parameters of the run.
    pub sent: Sent,
    /// Time from the start until the last submission ended.
    pub elapsed_ms: Millis,
    /// All submissions that arrived, over the duration of the mix.
    pub offered: Throughput,
    /// Submissions with a complete, correct answer, over the elapsed time.
    pub goodput: Throughput,
    /// Time from scheduled arrival to sending; large values mean that this tool did not keep up.
    pub send_lag_ms: Option<Summary>,
    /// Submissions by outcome.
    pub outcomes: Vec<OutcomeReport>,
    /// Response times of all submissions.
    pub overall: ScopeReport,
    /// Response times by group.
    pub groups: Vec<GroupReport>,
    /// Response times by class.
    pub classes: Vec<ClassReport>,
    /// Messages between entries and agents.
    pub messages: MessageReport,
}

/// The parameters of the run.
#[derive(Debug, Serialize)]
pub struct Sent {
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// Mean rate of submissions per second, without bursts.
    pub rate_per_s: f64,
    /// Time during which submissions arrived.
    pub duration_ms: Millis,
    /// Network round trip included in the ideal response time.
    pub round_trip_us: u64,
}

/// Submissions and tasks over a period.
#[derive(Debug, Serialize)]
pub struct Throughput {
    /// Number of submissions.
    pub submissions: u64,
    /// Number of tasks.
    pub tasks: u64,
    /// Tasks per second.
    pub tasks_per_s: f64,
    /// Sum of the task run times divided by the period: the mean number of busy slots.
    pub busy_slots: f64,
}

/// Number of submissions with one outcome.
#[derive(Debug, Serialize)]
pub struct OutcomeReport {
    /// Outcome of the submissions.
    pub outcome: OutcomeKind,
    /// Whether it is certain that no task ran.
    pub not_run: bool,
    /// Number of submissions.
    pub submissions: u64,
    /// Number of their tasks.
    pub tasks: u64,
}

/// Response times of one group.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// Group name from the mix.
    pub group: dfs_ids::GroupId,
    /// Counts and response times, written as fields of this row.
    #[serde(flatten)]
    pub scope: ScopeReport,
}

/// Response times of one class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Class name from the mix.
    pub class: ClassName,
    /// Counts and response times, written as fields of this row.
    #[serde(flatten)]
    pub scope: ScopeReport,
}

/// Message count, or why it is unknown.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageReport {
    /// Difference of the entries' counters before and after the load.
    Counted(MessageCount),
    /// Reason why there is no count.
    Unknown(String),
}

impl Report {
    /// Builds the report of a load.
    #[must_use]
    pub fn new(
        mix: &Mix,
        round_trip: Duration,
        tally: &Tally,
        messages: Result<MessageCount, CounterError>,
    ) -> Self {
        Self {
            sent: sent(mix, round_trip),
            elapsed_ms: millis(tally.elapsed),
            offered: throughput(&tally.overall.arrived, mix.duration_ms.into()),
            goodput: throughput(&tally.overall.complete, tally.elapsed),
            send_lag_ms: scope::summary(&tally.send_lag_us, scope::MICROS_PER_MILLI),
            outcomes: outcomes(tally),
            overall: ScopeReport::new(&tally.overall),
            groups: groups(mix, tally),
            classes: classes(mix, tally),
            messages: message_report(messages),
        }
    }

    /// Number of submissions with missing results or with results of another task or submission.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        self.count(ObservedOutcome::WrongAnswer)
    }

    /// Whether there were submissions and not one could be sent to an entry.
    #[must_use]
    pub fn all_unreachable(&self) -> bool {
        let unreachable = self.count(ObservedOutcome::Unreachable);
        unreachable > 0 && unreachable == self.offered.submissions
    }

    fn count(&self, outcome: ObservedOutcome) -> u64 {
        let kind = OutcomeKind::Observed(outcome);
        let rows = self.outcomes.iter().filter(|row| row.outcome == kind);
        rows.map(|row| row.submissions).sum()
    }
}

/// Divides two counts.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of one load stay far below 2^52"
)]
#[must_use]
pub fn quotient(count: u64, divisor: u64) -> f64 {
    count as f64 / divisor as f64
}

fn sent(mix: &Mix, round_trip: Duration) -> Sent {
    Sent {
        seed: mix.seed,
        rate_per_s: mix.rate_per_s,
        duration_ms: mix.duration_ms,
        round_trip_us: u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX),
    }
}

fn millis(span: Duration) -> Millis {
    Millis::new(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

fn throughput(count: &Count, period: Duration) -> Throughput {
    // Avoids a division by zero: a load without submissions takes no time.
    let period = period.max(Duration::from_millis(1));
    Throughput {
        submissions: count.submissions,
        tasks: count.tasks,
        tasks_per_s: quotient(count.tasks, 1) / period.as_secs_f64(),
        busy_slots: count.work.div_duration_f64(period),
    }
}

fn outcomes(tally: &Tally) -> Vec<OutcomeReport> {
    let rows = tally.outcomes.iter();
    rows.map(|((outcome, not_run), count)| OutcomeReport {
        outcome: *outcome,
        not_run: *not_run,
        submissions: count.submissions,
        tasks: count.tasks,
    })
    .collect()
}

fn groups(mix: &Mix, tally: &Tally) -> Vec<GroupReport> {
    let scopes = mix.groups.iter().zip(&tally.groups);
    scopes
        .map(|(load, scope)| GroupReport {
            group: load.group.clone(),
            scope: ScopeReport::new(scope),
        })
        .collect()
}

fn classes(mix: &Mix, tally: &Tally) -> Vec<ClassReport> {
    let scopes = mix.classes.iter().zip(&tally.classes);
    scopes
        .map(|(class, scope)| ClassReport {
            class: class.class.clone(),
            scope: ScopeReport::new(scope),
        })
        .collect()
}

fn message_report(messages: Result<MessageCount, CounterError>) -> MessageReport {
    match messages {
        Ok(messages) => MessageReport::Counted(messages),
        Err(error) => MessageReport::Unknown(error.to_string()),
    }
}
