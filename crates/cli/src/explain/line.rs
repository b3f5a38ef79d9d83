//! Parses the lines of a log file.

use std::collections::BTreeMap;

use chrono::DateTime;
use chrono::FixedOffset;

/// One event that a process logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time at which the process logged the event, by its own clock.
    pub time: DateTime<FixedOffset>,
    /// Name that a log collector put before the time, else the name of the log file.
    pub process: String,
    /// Severity, such as `info`.
    pub level: String,
    /// Number of the event type, by which the end of a request is recognized.
    pub code: u16,
    /// Name of the event type, such as `placed`.
    pub event: String,
    /// Values of the `key=value` fields, without quotes and escapes.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Value of a field, `None` if the line does not have it.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Parses `[process …] time level code event key=value …`; `None` if the text is not a log line.
///
/// Of several words before the time, the last one is the process.
#[must_use]
pub fn parse(file: &str, text: &str) -> Option<LogLine> {
    let mut before = None;
    let mut rest = text.trim();
    let time = loop {
        let (word, after) = rest.split_once(' ')?;
        rest = after.trim_start();
        match DateTime::parse_from_rfc3339(word) {
            Ok(time) => break time,
            Err(_) => before = Some(word),
        }
    };
    let (level, rest) = rest.split_once(' ')?;
    let (code, rest) = rest.split_once(' ')?;
    let (event, fields) = rest.split_once(' ').unwrap_or((rest, ""));
    Some(LogLine {
        time,
        process: before.unwrap_or(file).to_owned(),
        level: level.to_owned(),
        code: code.parse().ok()?,
        event: event.to_owned(),
        fields: parse_fields(fields)?,
    })
}

/// Parses `key=value` and `key="value with \" escapes"`.
fn parse_fields(text: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, after) = if let Some(quoted) = after.strip_prefix('"') {
            parse_quoted(quoted)?
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        fields.insert(key.trim().to_owned(), value);
        rest = after.trim_start();
    }
    Some(fields)
}

/// Returns the value up to its closing quote and the text after it; the opening quote is already
/// consumed.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match characters.next()? {
                (_, 'n') => value.push('\n'),
                (_, 't') => value.push('\t'),
                (_, other) => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
