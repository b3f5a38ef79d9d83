//! `explain`: the story of one request, from the logs of all processes.

mod line;
mod story;

use std::fmt::Write;
use std::path::Path;

use snafu::ResultExt;
use snafu::Snafu;

pub use line::Line;
pub use line::parse;
pub use story::Story;

use crate::cli::ExplainArgs;
use crate::error::Error;
use crate::exit::Exit;
use crate::input::ReadSnafu;
use crate::output;

/// Why a request can't be explained.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// No line names the request.
    #[snafu(display(
        "no line of the {lines} that could be read names {id:?}: give the id of the request, the job or \
         the submission, and the logs of all entries and agents of that time"
    ))]
    Unknown {
        /// The id.
        id: String,
        /// Lines that were read.
        lines: usize,
    },
}

/// Prints the story of a request.
pub fn run(args: &ExplainArgs) -> Result<Exit, Error> {
    let mut lines = Vec::new();
    let mut faults = String::new();
    for path in &args.logs {
        let bytes = std::fs::read(path).context(ReadSnafu { path })?;
        let read = read(path, &String::from_utf8_lossy(&bytes), &mut lines);
        // Writing to a string can't fail.
        let _ = write!(faults, "{read}");
    }
    eprint!("{faults}");
    let count = lines.len();
    let Some(story) = Story::of(&args.id, lines) else {
        let id = args.id.clone();
        return Err(ExplainError::Unknown { id, lines: count }.into());
    };
    output::write(story.to_string().as_bytes())?;
    Ok(Exit::Success)
}

/// Reads the lines of a file; returns what is to be said of those that are none of the log.
fn read(path: &Path, text: &str, lines: &mut Vec<Line>) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut unreadable = Vec::new();
    for (number, text) in (1..).zip(text.lines()) {
        match parse(&name, text) {
            Some(line) => lines.push(line),
            None if text.trim().is_empty() => {}
            None => unreadable.push(number),
        }
    }
    let Some(first) = unreadable.first() else {
        return String::new();
    };
    let count = unreadable.len();
    format!(
        "{}: {count} lines are none of the log and are left out, the first is line {first}\n",
        path.display()
    )
}
