//! The log lines of one request in order of time, with nearby events of the processes that handled
//! it.

use std::collections::BTreeSet;
use std::fmt;

use chrono::TimeDelta;

use super::LogLine;

/// Time before the first and after the last line of the request in which other events of the same
/// processes, such as a lost session, may be the cause of what happened to it.
const CONTEXT_WINDOW: TimeDelta = TimeDelta::seconds(2);
/// Printed before lines that do not belong to the request.
const CONTEXT_MARK: &str = "  | ";
/// Log fields that hold an id by which a request can be looked up.
const ID_FIELDS: [&str; 3] = ["submission", "request", "job"];

/// What the logs hold about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeline {
    /// Lines of the request and of its context, ordered by time.
    lines: Vec<(LogLine, Relation)>,
}

/// How a line relates to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relation {
    /// It names the request or its submission.
    Request,
    /// It names no submission and comes from a process that handled the request, within the
    /// [`CONTEXT_WINDOW`].
    Context,
}

impl Timeline {
    /// Collects the lines of a request, job or submission; `None` if no line names the id.
    ///
    /// Many lines carry only the submission, so the id is first resolved to its submissions.
    #[must_use]
    pub fn for_id(id: &str, lines: Vec<LogLine>) -> Option<Self> {
        let has_id = |line: &LogLine| ID_FIELDS.iter().any(|name| line.field(name) == Some(id));
        let submissions: BTreeSet<_> = lines
            .iter()
            .filter(|line| has_id(line))
            .filter_map(|line| line.field("submission").map(ToOwned::to_owned))
            .collect();
        let is_of_request = |line: &LogLine| {
            let submission = line.field("submission");
            has_id(line) || submission.is_some_and(|name| submissions.contains(name))
        };
        let (own, others): (Vec<_>, Vec<_>) = lines.into_iter().partition(is_of_request);
        let first = own.iter().map(|line| line.time).min()? - CONTEXT_WINDOW;
        let last = own.iter().map(|line| line.time).max()? + CONTEXT_WINDOW;
        let processes: BTreeSet<_> = own.iter().map(|line| line.process.clone()).collect();
        let is_context = |line: &LogLine| {
            let of_others = line.field("submission").is_some();
            processes.contains(&line.process) && !of_others && (first..=last).contains(&line.time)
        };
        let context = others.into_iter().filter(is_context);
        let mut lines: Vec<_> = own
            .into_iter()
            .map(|line| (line, Relation::Request))
            .chain(context.map(|line| (line, Relation::Context)))
            .collect();
        lines.sort_by_key(|(line, _)| line.time);
        Some(Self { lines })
    }

    /// The last line that ends the request: refused, answered (complete or failed) or cancelled.
    fn end(&self) -> Option<&LogLine> {
        let is_end = |line: &&LogLine| (302..=305).contains(&line.code);
        let own = self.lines.iter().filter(|(_, r)| *r == Relation::Request);
        own.map(|(line, _)| line).rfind(is_end)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let own = self.lines.iter().find(|(_, r)| *r == Relation::Request);
        let Some(start) = own.map(|(line, _)| line.time) else {
            return Ok(());
        };
        writeln!(f, "{}", start.format("%Y-%m-%dT%H:%M:%S%.3f%:z"))?;
        for (line, relation) in &self.lines {
            let ms = (line.time - start).num_milliseconds();
            let mark = if *relation == Relation::Request {
                ""
            } else {
                CONTEXT_MARK
            };
            write!(f, "{ms:>+7} ms {mark}{} {}", line.process, line.event)?;
            for (key, value) in &line.fields {
                write!(f, " {key}={value:?}")?;
            }
            writeln!(f)?;
        }
        match self.end() {
            None => writeln!(f, "no line says how it ended"),
            Some(line) => {
                let why = line.field("cause").unwrap_or("every task ran");
                writeln!(f, "ended as {} at {}: {why}", line.event, line.process)
            }
        }
    }
}
