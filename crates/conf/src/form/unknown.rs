//! Detection of fields that a type does not have.

use serde_json::Map;
use serde_json::Value;

use crate::fault::FieldPath;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// Removes every field that the template lacks and returns an error for each.
pub(super) fn remove_unknown(document: &mut Value, template: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    visit_value(document, template, &FieldPath::default(), &mut errors);
    errors
}

fn visit_value(
    document: &mut Value,
    template: &Value,
    path: &FieldPath,
    errors: &mut Vec<ValidationError>,
) {
    match (document, template) {
        (Value::Object(fields), Value::Object(allowed)) => {
            visit_fields(fields, allowed, path, errors);
        }
        (Value::Array(elements), Value::Array(allowed)) => {
            let Some(allowed) = allowed.first() else {
                return;
            };
            for (i, element) in elements.iter_mut().enumerate() {
                visit_value(element, allowed, &path.index(i), errors);
            }
        }
        _ => {}
    }
}

fn visit_fields(
    fields: &mut Map<String, Value>,
    allowed: &Map<String, Value>,
    path: &FieldPath,
    errors: &mut Vec<ValidationError>,
) {
    fields.retain(|name, _| {
        let known = allowed.contains_key(name);
        if !known {
            let path = path.field(name);
            let problem = unknown_field_problem(name, allowed);
            errors.push(ValidationError { path, problem });
        }
        known
    });
    for (name, value) in fields {
        visit_value(value, &allowed[name], &path.field(name), errors);
    }
}

fn unknown_field_problem(name: &str, allowed: &Map<String, Value>) -> Problem {
    match allowed.keys().find(|known| differs_in_unit(name, known)) {
        Some(known) => Problem::WrongUnit {
            expected: known.clone(),
        },
        None => Problem::UnknownField {
            allowed: allowed.keys().cloned().collect(),
        },
    }
}

/// Suffixes after the last underscore of a field name that are recognized as its unit.
const UNIT_SUFFIXES: [&str; 18] = [
    "ns", "us", "ms", "s", "sec", "secs", "seconds", "millis", "min", "minutes", "bytes", "kb",
    "mb", "gb", "kib", "mib", "gib", "messages",
];

/// Whether `known` has a unit suffix, and `name` is the same field with another one or none.
fn differs_in_unit(name: &str, known: &str) -> bool {
    let (stem, unit) = split_unit(known);
    unit.is_some() && split_unit(name).0 == stem
}

fn split_unit(name: &str) -> (&str, Option<&str>) {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNIT_SUFFIXES.contains(&unit) => (stem, Some(unit)),
        _ => (name, None),
    }
}
