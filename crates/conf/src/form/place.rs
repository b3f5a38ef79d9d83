//! The place of a deserialization error in its document.

use serde_json::Value;
use serde_path_to_error::Segment;

use crate::fault::FieldPath;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// Step from a value to one of its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Field(String),
    Index(usize),
}

/// The value that an error is about.
pub(super) struct Place {
    steps: Vec<Step>,
    message: String,
    is_missing: bool,
}

impl Place {
    pub(super) fn of(
        error: &serde_path_to_error::Error<serde_json::Error>,
        template: &Value,
    ) -> Self {
        let message = error.inner().to_string();
        let mut steps: Vec<Step> = error.path().iter().filter_map(step).collect();
        let missing = missing_field(&message).filter(|name| {
            let known = find(template, &steps).and_then(|node| node.get(name));
            known.is_some()
        });
        let is_missing = missing.is_some();
        steps.extend(missing.map(|name| Step::Field(name.to_owned())));
        Self {
            steps,
            message,
            is_missing,
        }
    }

    pub(super) fn path(&self) -> FieldPath {
        let root = FieldPath::default();
        self.steps.iter().fold(root, |path, step| match step {
            Step::Field(name) => path.field(name),
            Step::Index(index) => path.index(*index),
        })
    }

    pub(super) fn fault(&self, document: &Value) -> ValidationError {
        let problem = if self.is_missing {
            Problem::Missing
        } else if self.is_secret() {
            Problem::Malformed {
                value: "the secret".to_owned(),
                message: "a string is expected".to_owned(),
            }
        } else {
            Problem::Malformed {
                value: self.shown_value(document),
                message: self.message.clone(),
            }
        };
        ValidationError {
            path: self.path(),
            problem,
        }
    }

    /// Whether the value may not be shown; nor may the message, which repeats it.
    fn is_secret(&self) -> bool {
        matches!(self.steps.last(), Some(Step::Field(name)) if name.contains("secret"))
    }

    fn shown_value(&self, document: &Value) -> String {
        match find_exact(document, &self.steps) {
            Some(Value::Object(_)) => "the object".to_owned(),
            Some(Value::Array(_)) => "the list".to_owned(),
            Some(value) => value.to_string(),
            None => "the value".to_owned(),
        }
    }

    /// Puts the value of the template there; false if the template has none or it is there already.
    pub(super) fn replace(&self, document: &mut Value, template: &Value) -> bool {
        let Some(valid) = find(template, &self.steps) else {
            return false;
        };
        let Some(slot) = slot(document, &self.steps) else {
            return false;
        };
        if slot == valid {
            return false;
        }
        *slot = valid.clone();
        true
    }
}

fn step(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Field(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// The field that serde reports as missing.
fn missing_field(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("missing field `")?;
    Some(rest.split_once('`')?.0)
}

/// Follows the steps; every element of a list of the template stands for all.
fn find<'a>(template: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(template, |node, step| match step {
        Step::Field(name) => node.get(name),
        Step::Index(_) => node.get(0),
    })
}

fn find_exact<'a>(document: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(document, |node, step| match step {
        Step::Field(name) => node.get(name),
        Step::Index(index) => node.get(index),
    })
}

/// Follows the steps and creates the last field if it is missing.
fn slot<'a>(document: &'a mut Value, steps: &[Step]) -> Option<&'a mut Value> {
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
