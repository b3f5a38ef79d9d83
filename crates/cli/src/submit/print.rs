//! Prints the answer to a submission.

use dfs_ids::TaskIndex;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;

use crate::error::Error;
use crate::exit::Exit;
use crate::output;
use crate::output::Format;
use crate::output::Table;

/// Prints an answer and returns the exit code of its outcome.
pub fn print(format: Format, answer: &Answer) -> Result<Exit, Error> {
    match format {
        Format::Json => output::print_json(answer)?,
        Format::Table => print_table(answer)?,
    }
    let failure = answer.failure.as_ref();
    Ok(failure.map_or(Exit::Success, |f| f.reason.into()))
}

fn print_table(answer: &Answer) -> Result<(), Error> {
    match &answer.failure {
        None => output::print(&results_table(answer).to_string()),
        Some(failure) => output::print(&failure_table(answer, failure).to_string()),
    }
}

fn results_table(answer: &Answer) -> Table {
    let mut table = Table::of_texts(&["task", "result"]);
    for (task, result) in answer.results.iter().enumerate() {
        table.row([task.to_string(), result.get().to_owned()]);
    }
    table
}

fn failure_table(answer: &Answer, failure: &Failure) -> Table {
    let mut table = Table::of_texts(&["outcome", "failed"]);
    let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
    if let Some(submission) = &answer.submission {
        row("submission", submission.to_string());
    }
    row("reason", failure.reason.to_string());
    row("message", failure.message.clone());
    row("not run", failure.not_run.to_string());
    if !failure.may_have_run.is_empty() {
        row("may have run", ranges(&failure.may_have_run));
    }
    if let Some(wait) = failure.retry_after_ms {
        row("retry after", wait.to_string());
    }
    for fault in &failure.faults {
        row(&format!("task {}", fault.task), fault.message.clone());
    }
    table
}

/// Formats task indices, with consecutive ones as a range: `0-2 5`.
fn ranges(tasks: &[TaskIndex]) -> String {
    let ranges: Vec<String> = tasks
        .chunk_by(|task, following| task.next() == *following)
        .filter_map(|range| Some((range.first()?, range.last()?)))
        .map(|(first, last)| {
            if first == last {
                first.to_string()
            } else {
                format!("{first}-{last}")
            }
        })
        .collect();
    ranges.join(" ")
}
