//! Lines of the log.

use std::collections::BTreeMap;

use chrono::DateTime;
use chrono::FixedOffset;

/// One event of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written.
    pub time: DateTime<FixedOffset>,
    /// The process: what stands before the time, as a log collector writes it, else the file's name.
    pub process: String,
    /// Severity.
    pub level: String,
    /// Number of the kind of event.
    pub number: u16,
    /// Name of the kind of event.
    pub name: String,
    /// Fields.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Reads `[process …] time level number name key=value …`; none if the text is no such line.
#[must_use]
pub fn parse(file: &str, text: &str) -> Option<Line> {
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
    let (number, rest) = rest.split_once(' ')?;
    let (name, fields) = rest.split_once(' ').unwrap_or((rest, ""));
    Some(Line {
        time,
        process: before.unwrap_or(file).to_owned(),
        level: level.to_owned(),
        number: number.parse().ok()?,
        name: name.to_owned(),
        fields: read_fields(fields)?,
    })
}

/// Reads `key=value` and `key="value with \" escapes"`.
fn read_fields(text: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, after) = if let Some(quoted) = after.strip_prefix('"') {
            read_quoted(quoted)?
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        fields.insert(key.trim().to_owned(), value);
        rest = after.trim_start();
    }
    Some(fields)
}

/// A value up to its closing quote, and what follows.
fn read_quoted(text: &str) -> Option<(String, &str)> {
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
