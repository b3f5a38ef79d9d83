//! The lines of one request in their order, with what befell the processes it touched.

use std::collections::BTreeSet;
use std::fmt;

use chrono::TimeDelta;

use super::Line;

/// Time around the request in which other lines of its processes may tell why.
const AROUND: TimeDelta = TimeDelta::seconds(2);
/// Marks lines that do not name the request.
const MARGIN: &str = "  | ";
const NAMES: [&str; 3] = ["submission", "request", "job"];

/// The story of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Story {
    /// Its own lines and those around them, by time.
    lines: Vec<(Line, Part)>,
}

/// What a line has to do with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// It names the request.
    Own,
    /// It tells of a process that the request touched.
    Around,
}

impl Story {
    /// The story of a request, job or submission; none if no line names it.
    #[must_use]
    pub fn of(id: &str, lines: Vec<Line>) -> Option<Self> {
        let names_it = |line: &Line| NAMES.iter().any(|name| line.field(name) == Some(id));
        let submissions: BTreeSet<_> = lines
            .iter()
            .filter(|line| names_it(line))
            .filter_map(|line| line.field("submission").map(ToOwned::to_owned))
            .collect();
        let is_own = |line: &Line| {
            let submission = line.field("submission");
            names_it(line) || submission.is_some_and(|name| submissions.contains(name))
        };
        let (own, others): (Vec<_>, Vec<_>) = lines.into_iter().partition(is_own);
        let first = own.iter().map(|line| line.time).min()? - AROUND;
        let last = own.iter().map(|line| line.time).max()? + AROUND;
        let processes: BTreeSet<_> = own.iter().map(|line| line.process.clone()).collect();
        let is_around = |line: &Line| {
            let of_others = line.field("submission").is_some();
            processes.contains(&line.process) && !of_others && (first..=last).contains(&line.time)
        };
        let around = others.into_iter().filter(is_around);
        let mut lines: Vec<_> = own
            .into_iter()
            .map(|line| (line, Part::Own))
            .chain(around.map(|line| (line, Part::Around)))
            .collect();
        lines.sort_by_key(|(line, _)| line.time);
        Some(Self { lines })
    }

    /// The line that ended the request.
    fn end(&self) -> Option<&Line> {
        let is_end = |line: &&Line| (302..=305).contains(&line.number);
        let own = self.lines.iter().filter(|(_, part)| *part == Part::Own);
        own.map(|(line, _)| line).rfind(is_end)
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let own = self.lines.iter().find(|(_, part)| *part == Part::Own);
        let Some(start) = own.map(|(line, _)| line.time) else {
            return Ok(());
        };
        writeln!(f, "{}", start.format("%Y-%m-%dT%H:%M:%S%.3f%:z"))?;
        for (line, part) in &self.lines {
            let ms = (line.time - start).num_milliseconds();
            let margin = if *part == Part::Own { "" } else { MARGIN };
            write!(f, "{ms:>+7} ms {margin}{} {}", line.process, line.name)?;
            for (key, value) in &line.fields {
                write!(f, " {key}={value:?}")?;
            }
            writeln!(f)?;
        }
        match self.end() {
            None => writeln!(f, "no line says how it ended"),
            Some(line) => {
                let why = line.field("cause").unwrap_or("every task ran");
                writeln!(f, "ended as {} at {}: {why}", line.name, line.process)
            }
        }
    }
}
