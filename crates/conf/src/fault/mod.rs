//! Validation errors of settings and of the configuration.

mod path;
mod problem;

use derive_more::Display;
use snafu::Snafu;

pub use path::FieldPath;
pub use problem::Constraint;
pub use problem::ItemKind;
pub use problem::Problem;

/// One invalid value of a document.
///
/// Its text starts with the path, unless the whole document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}{problem}", path_prefix(path))]
pub struct ValidationError {
    /// Location of the value in the document.
    pub path: FieldPath,
    /// Why the value is invalid.
    pub problem: Problem,
}

fn path_prefix(path: &FieldPath) -> String {
    if path.is_root() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

/// All errors of a document, at least one; printed one a line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join_lines(errors)))]
pub struct ValidationErrors {
    /// The errors in the order in which the checks found them.
    pub errors: Vec<ValidationError>,
}

impl ValidationErrors {
    /// Prefixes all paths with the field of the outer document that holds this one.
    pub(crate) fn nested_in(self, field: &str) -> impl Iterator<Item = ValidationError> {
        let outer = FieldPath::new(field);
        self.errors.into_iter().map(move |error| ValidationError {
            path: error.path.nested_in(&outer),
            problem: error.problem.nested_in(&outer),
        })
    }
}

fn join_lines(errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ValidationError::to_string).collect();
    lines.join("\n")
}

/// Returns the value, or the errors if there are any.
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
