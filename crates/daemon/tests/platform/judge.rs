//! Check of runs and answers against the rules.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::callers::Reply;
use crate::callers::Submission;
use crate::ledger::Ledger;
use crate::ledger::LoggedRun;

/// Runs at the same time for less than this are due to the timers of the fake workers.
pub const MIN_OVERLAP: Duration = Duration::from_millis(20);

pub fn describe_pair((first, second): &(LoggedRun, LoggedRun)) -> String {
    let overlap = first.overlap(second);
    let (task, workers) = (&first.task, (first.worker, second.worker));
    format!("{task} on workers {workers:?} for {overlap:?}")
}

/// Finds what has violated the rules. A task may start after a run of it was done only if `is_calm` is false for the time
/// between the starts: a job that need not be kept may then run again.
pub fn find_violations(
    ledger: &Ledger,
    submissions: &[Submission],
    is_calm: impl Fn(Instant, Instant) -> bool,
) -> Vec<String> {
    let doubled = ledger.doubled(MIN_OVERLAP);
    let mut violations: Vec<_> = doubled.iter().map(describe_pair).collect();
    let mut by_job: BTreeMap<String, Vec<LoggedRun>> = BTreeMap::new();
    for run in ledger.runs() {
        let (job, _) = run.task.split_once('.').unwrap();
        by_job.entry(job.to_owned()).or_default().push(run);
    }
    for submission in submissions {
        let runs = by_job.get(&submission.job).map_or(&[][..], Vec::as_slice);
        let found = check_runs(submission, runs, &is_calm)
            .into_iter()
            .chain(check_answer(submission, runs));
        violations.extend(found.map(|text| format!("{text}: {submission:?}")));
    }
    violations
}

fn check_runs(
    submission: &Submission,
    runs: &[LoggedRun],
    is_calm: impl Fn(Instant, Instant) -> bool,
) -> Vec<String> {
    let mut found = Vec::new();
    if let Some(label) = submission.label {
        let unlabeled = runs
            .iter()
            .filter(|run| run.labels.iter().all(|held| held != label));
        found.extend(unlabeled.map(|run| format!("{} ran without its label", run.task)));
    }
    if submission.replies.len() > 1 {
        // A job that is submitted again may run again from its start.
        return found;
    }
    for done in runs.iter().filter(|run| run.is_done) {
        let is_after = |run: &&LoggedRun| {
            run.task == done.task
                && done.noted.is_some_and(|noted| run.started > noted)
                && is_calm(done.started, run.started)
        };
        let again = runs.iter().filter(is_after);
        found.extend(again.map(|run| {
            format!(
                "{} started on {} after its end on {} was noted",
                run.task, run.worker, done.worker
            )
        }));
    }
    found
}

fn check_answer(submission: &Submission, runs: &[LoggedRun]) -> Option<String> {
    let is_only = submission.replies.len() == 1;
    match submission.replies.last()? {
        Reply::Missing => Some("no answer".to_owned()),
        Reply::Status(429 | 503, _) if is_only && !runs.is_empty() => {
            Some(format!("refused, with {} runs", runs.len()))
        }
        Reply::Status(200, body) if body.contains("succeeded") => {
            let is_done = |index: &u32| {
                let task = format!("{}.0.0.{index}", submission.job);
                runs.iter().any(|run| run.task == task && run.is_done)
            };
            let missing = (0..submission.tasks).find(|index| !is_done(index));
            missing.map(|index| format!("succeeded, but task {index} was never done"))
        }
        Reply::Status(200 | 429 | 502 | 503 | 504, _) | Reply::Broken => None,
        Reply::Status(status, _) => Some(format!("status {status}")),
    }
}
