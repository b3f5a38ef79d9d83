//! Errors of settings and of the configuration.

mod path;
mod problem;

use derive_more::Display;
use snafu::Snafu;

pub use path::FieldPath;
pub use problem::Kind;
pub use problem::Problem;
pub use problem::Rule;

/// One fault: where, and what is wrong with which value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}{problem}", prefix(path))]
pub struct ValidationError {
    /// Place of the value.
    pub path: FieldPath,
    /// What is wrong with it.
    pub problem: Problem,
}

fn prefix(path: &FieldPath) -> String {
    if path.is_root() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

/// All errors of a document, never none.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(errors)))]
pub struct ValidationErrors {
    /// The errors in the order in which they were found.
    pub errors: Vec<ValidationError>,
}

impl ValidationErrors {
    /// The same errors, of a document that is a field of another.
    pub(crate) fn within(self, name: &str) -> impl Iterator<Item = ValidationError> {
        let outer = FieldPath::new(name);
        self.errors.into_iter().map(move |fault| ValidationError {
            path: fault.path.inside(&outer),
            problem: fault.problem.inside(&outer),
        })
    }
}

fn lines(errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ValidationError::to_string).collect();
    lines.join("\n")
}

/// The value if there are no errors.
pub(crate) fn ok_unless_errors<T>(
    value: T,
    errors: Vec<ValidationError>,
) -> Result<T, ValidationErrors> {
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(ValidationErrors { errors })
    }
}
