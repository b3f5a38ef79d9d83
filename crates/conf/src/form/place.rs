//! Location of a deserialization error in its document.

use serde_json::Value;
use serde_path_to_error::Segment;

use crate::fault::FieldPath;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// Step from a value to one of its fields or elements.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Field(String),
    Index(usize),
}

/// The value that a deserialization error is about.
pub(super) struct ErrorLocation {
    steps: Vec<Step>,
    message: String,
    is_missing_field: bool,
}

impl ErrorLocation {
    /// Converts the path of the error; for a missing field it is extended to that field.
    pub(super) fn new(
        error: &serde_path_to_error::Error<serde_json::Error>,
        template: &Value,
    ) -> Self {
        let message = error.inner().to_string();
        let mut steps: Vec<Step> = error.path().iter().filter_map(step_from_segment).collect();
        let missing = missing_field_name(&message).filter(|name| {
            let field = template_value(template, &steps).and_then(|node| node.get(name));
            field.is_some()
        });
        let is_missing_field = missing.is_some();
        steps.extend(missing.map(|name| Step::Field(name.to_owned())));
        Self {
            steps,
            message,
            is_missing_field,
        }
    }

    pub(super) fn path(&self) -> FieldPath {
        let root = FieldPath::default();
        self.steps.iter().fold(root, |path, step| match step {
            Step::Field(name) => path.field(name),
            Step::Index(index) => path.index(*index),
        })
    }

    /// Describes the error, without the value if that is a secret.
    pub(super) fn validation_error(&self, document: &Value) -> ValidationError {
        let problem = if self.is_missing_field {
            Problem::Missing
        } else if self.is_secret() {
            Problem::Malformed {
                value: "the secret".to_owned(),
                message: "a string is expected".to_owned(),
            }
        } else {
            Problem::Malformed {
                value: self.describe_value(document),
                message: self.message.clone(),
            }
        };
        ValidationError {
            path: self.path(),
            problem,
        }
    }

    /// Whether neither the value nor the message, which repeats it, may be shown.
    fn is_secret(&self) -> bool {
        matches!(self.steps.last(), Some(Step::Field(name)) if name.contains("secret"))
    }

    fn describe_value(&self, document: &Value) -> String {
        match document_value(document, &self.steps) {
            Some(Value::Object(_)) => "the object".to_owned(),
            Some(Value::Array(_)) => "the list".to_owned(),
            Some(value) => value.to_string(),
            None => "the value".to_owned(),
        }
    }

    /// Replaces the invalid value by that of the template.
    ///
    /// Returns false if the template has no value there or if it was already inserted, so that
    /// another attempt would end in the same error.
    pub(super) fn insert_placeholder(&self, document: &mut Value, template: &Value) -> bool {
        let Some(valid) = template_value(template, &self.steps) else {
            return false;
        };
        let Some(slot) = value_slot(document, &self.steps) else {
            return false;
        };
        if slot == valid {
            return false;
        }
        *slot = valid.clone();
        true
    }
}

fn step_from_segment(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Field(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Extracts the name of the field from `serde`'s message for a missing field.
fn missing_field_name(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("missing field `")?;
    Some(rest.split_once('`')?.0)
}

/// Returns the value of the template at a path. The first element of a list of the template stands
/// for all elements.
fn template_value<'a>(template: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(template, |node, step| match step {
        Step::Field(name) => node.get(name),
        Step::Index(_) => node.get(0),
    })
}

fn document_value<'a>(document: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(document, |node, step| match step {
        Step::Field(name) => node.get(name),
        Step::Index(index) => node.get(index),
    })
}

/// Returns the value of the document at a path. Missing fields are created as `null`.
fn value_slot<'a>(document: &'a mut Value, steps: &[Step]) -> Option<&'a mut Value> {
    let mut node = document;
    for step in steps {
        node = match (step, node) {
            (Step::Field(name), Value::Object(fields)) => {
                fields.entry(name.clone()).or_insert(Value::Null)
            }
            (Step::Index(index), Value::Array(elements)) => elements.get_mut(*index)?,
            _ => return None,
        };
    }
    Some(node)
}
