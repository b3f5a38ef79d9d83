//! Compares two documents; rows of the asset register are matched by name, not by position.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Fields that name a row, most specific first.
const NAME_FIELDS: [&str; 4] = ["operator", "target", "group", "service"];

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Where it is, such as `groups[aba].share`.
    pub path: String,
    /// Value in force, absent if the file adds it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Value>,
    /// Value of the file, absent if the file lacks it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let path = &self.path;
        match (&self.in_force, &self.file) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            (Some(old), None) => write!(f, "- {path}: {old}"),
            (None, Some(new)) => write!(f, "+ {path}: {new}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// One line for each difference.
pub fn lines(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Every difference, ordered by path.
pub fn compare(in_force: &Value, file: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    walk("", Some(in_force), Some(file), &mut changes);
    changes
}

fn walk(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (Some(old_parts), Some(new_parts)) = (old.and_then(parts), new.and_then(parts)) else {
        changes.push(Change {
            path: path.to_owned(),
            in_force: old.cloned(),
            file: new.cloned(),
        });
        return;
    };
    let mut names: Vec<&String> = old_parts.keys().chain(new_parts.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let inner = join(path, name);
        let (old, new) = (old_parts.get(name), new_parts.get(name));
        walk(&inner, old.copied(), new.copied(), changes);
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() || name.starts_with('[') {
        format!("{path}{name}")
    } else {
        format!("{path}.{name}")
    }
}

/// Fields of an object or named rows of an array; `None` for a value that is compared whole.
fn parts(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => Some(fields.iter().map(|(k, v)| (k.clone(), v)).collect()),
        Value::Array(rows) => named_rows(rows),
        _ => None,
    }
}

fn named_rows(rows: &[Value]) -> Option<BTreeMap<String, &Value>> {
    let named: Option<BTreeMap<String, &Value>> = rows
        .iter()
        .map(|row| Some((format!("[{}]", row_name(row)?), row)))
        .collect();
    // Two rows of one name cannot be matched, so such an array is compared whole.
    named.filter(|named| named.len() == rows.len())
}

fn row_name(row: &Value) -> Option<&str> {
    NAME_FIELDS
        .iter()
        .find_map(|field| row.get(field))
        .and_then(Value::as_str)
}
