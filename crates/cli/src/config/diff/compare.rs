//! Compares two JSON documents; array elements are matched by name, not by position.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Fields that can identify an array element, most specific first; the first one that an element
/// has is its name.
const NAME_FIELDS: [&str; 4] = ["operator", "target", "group", "service"];

/// A value that differs between the two documents; serialized for `--output json`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the value, such as `groups[aba].share`.
    pub path: String,
    /// Value in force, `None` if only the file has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Value>,
    /// Value in the file, `None` if only the document in force has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Value>,
}

impl fmt::Display for Difference {
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

/// Formats one line for each difference.
pub fn lines(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Lists every difference, ordered by path.
pub fn compare(in_force: &Value, file: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    diff_values("", Some(in_force), Some(file), &mut differences);
    differences
}

fn diff_values(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if old == new {
        return;
    }
    let (Some(old_children), Some(new_children)) = (old.and_then(children), new.and_then(children))
    else {
        differences.push(Difference {
            path: path.to_owned(),
            in_force: old.cloned(),
            file: new.cloned(),
        });
        return;
    };
    let mut names: Vec<&String> = old_children.keys().chain(new_children.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let child_path = child_path(path, name);
        let (old, new) = (old_children.get(name), new_children.get(name));
        diff_values(&child_path, old.copied(), new.copied(), differences);
    }
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() || name.starts_with('[') {
        format!("{path}{name}")
    } else {
        format!("{path}.{name}")
    }
}

/// Fields of an object, or elements of an array by name; `None` for a value that is compared as a
/// whole.
fn children(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => Some(fields.iter().map(|(k, v)| (k.clone(), v)).collect()),
        Value::Array(elements) => named_elements(elements),
        _ => None,
    }
}

fn named_elements(elements: &[Value]) -> Option<BTreeMap<String, &Value>> {
    let named: Option<BTreeMap<String, &Value>> = elements
        .iter()
        .map(|element| Some((format!("[{}]", element_name(element)?), element)))
        .collect();
    // Elements with the same name cannot be matched, so such an array is compared as a whole.
    named.filter(|named| named.len() == elements.len())
}

fn element_name(element: &Value) -> Option<&str> {
    NAME_FIELDS
        .iter()
        .find_map(|field| element.get(field))
        .and_then(Value::as_str)
}
