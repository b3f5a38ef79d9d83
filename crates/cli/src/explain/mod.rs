//! `explain`: the timeline of one request, from the logs of all processes.

mod line;
mod story;

use std::fmt::Write;
use std::path::Path;

use snafu::ResultExt;
use snafu::Snafu;

pub use line::LogLine;
pub use line::parse;
pub use story::Timeline;

use crate::cli::ExplainArgs;
use crate::error::Error;
use crate::exit::Exit;
use crate::input::ReadSnafu;
use crate::output;

/// Why a request can't be explained.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// No log line has the id in one of the fields that identify a request.
    #[snafu(display(
        "none of the {lines} log lines names {id:?}: pass the id of a request, job or submission, \
         and the logs of all entries and agents from that time"
    ))]
    NotFound {
        /// Id from the command line.
        id: String,
        /// Number of log lines searched, over all files.
        lines: usize,
    },
}

/// Runs `explain`.
///
/// Other text in the logs is skipped, with a warning for each file on standard error.
pub fn run(args: &ExplainArgs) -> Result<Exit, Error> {
    let mut lines = Vec::new();
    let mut warnings = String::new();
    for path in &args.logs {
        let bytes = std::fs::read(path).context(ReadSnafu { path })?;
        let warning = parse_file(path, &String::from_utf8_lossy(&bytes), &mut lines);
        // Writing to a string can't fail.
        let _ = write!(warnings, "{warning}");
    }
    eprint!("{warnings}");
    let count = lines.len();
    let Some(timeline) = Timeline::for_id(&args.id, lines) else {
        let id = args.id.clone();
        return Err(ExplainError::NotFound { id, lines: count }.into());
    };
    output::write(timeline.to_string().as_bytes())?;
    Ok(Exit::Success)
}

/// Adds the log lines of a file to `lines`; returns a warning about other text, empty if there is
/// none.
fn parse_file(path: &Path, text: &str, lines: &mut Vec<LogLine>) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut skipped = Vec::new();
    for (number, text) in (1..).zip(text.lines()) {
        match parse(&name, text) {
            Some(line) => lines.push(line),
            None if text.trim().is_empty() => {}
            None => skipped.push(number),
        }
    }
    let Some(first) = skipped.first() else {
        return String::new();
    };
    let count = skipped.len();
    format!(
        "{}: skipped {count} lines that are not log lines, the first is line {first}\n",
        path.display()
    )
}
