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
use super::outcome::OutcomeKind;
use super::outcome::SeenOutcome;
use super::tally::Count;
use super::tally::Tally;

use self::scope::ScopeReport;
use self::scope::Summary;

/// What a load found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// What was sent.
    pub sent: Sent,
    /// Time from the start to the last end of a submission.
    pub elapsed_ms: Millis,
    /// Everything that arrived, by the duration of the mix.
    pub offered: Throughput,
    /// What was answered whole, by the elapsed time.
    pub goodput: Throughput,
    /// Time between arrival and sending; a large one means that this tool did not keep up.
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
    /// Mean rate of submissions, without bursts.
    pub rate_per_s: f64,
    /// Time during which submissions arrived.
    pub duration_ms: Millis,
    /// Round trip within the ideal.
    pub round_trip_us: u64,
}

/// Work over time.
#[derive(Debug, Serialize)]
pub struct Throughput {
    /// Submissions.
    pub submissions: u64,
    /// Tasks.
    pub tasks: u64,
    /// Tasks a second.
    pub tasks_per_s: f64,
    /// Run time of the tasks over the time: slots that they keep busy on average.
    pub busy_slots: f64,
}

/// Submissions that ended in one way.
#[derive(Debug, Serialize)]
pub struct OutcomeReport {
    /// The way.
    pub outcome: OutcomeKind,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// Submissions.
    pub submissions: u64,
    /// Their tasks.
    pub tasks: u64,
}

/// Response times of one group.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// The group.
    pub group: dfs_ids::GroupId,
    /// Its response times.
    #[serde(flatten)]
    pub scope: ScopeReport,
}

/// Response times of one class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: ClassName,
    /// Its response times.
    #[serde(flatten)]
    pub scope: ScopeReport,
}

/// Messages, or why they are not known.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageReport {
    /// As the entries counted.
    Counted(MessageCount),
    /// Why there is no count.
    Unknown(String),
}

impl Report {
    /// Sums up a load.
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

    /// Submissions whose answer was not their own or not whole.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        self.count(SeenOutcome::WrongAnswer)
    }

    /// Whether no submission reached an entry at all.
    #[must_use]
    pub fn none_reached(&self) -> bool {
        let unreachable = self.count(SeenOutcome::Unreachable);
        unreachable > 0 && unreachable == self.offered.submissions
    }

    fn count(&self, seen: SeenOutcome) -> u64 {
        let kind = OutcomeKind::Seen(seen);
        let rows = self.outcomes.iter().filter(|row| row.outcome == kind);
        rows.map(|row| row.submissions).sum()
    }
}

/// A quotient of counts.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of one load stay far below 2^52"
)]
#[must_use]
pub fn per(count: u64, whole: u64) -> f64 {
    count as f64 / whole as f64
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

fn throughput(count: &Count, time: Duration) -> Throughput {
    // A load without submissions takes no time.
    let time = time.max(Duration::from_millis(1));
    Throughput {
        submissions: count.submissions,
        tasks: count.tasks,
        tasks_per_s: per(count.tasks, 1) / time.as_secs_f64(),
        busy_slots: count.work.div_duration_f64(time),
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
