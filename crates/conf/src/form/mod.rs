//! Deserializes a JSON document and collects all errors instead of only the first.
//!
//! Deserialization stops at its first error. To find the next one, the invalid value is replaced by
//! the value of the template at the same path, and the document is deserialized again. The template
//! is a valid document in which every optional field is present and every list has an element.

mod place;
mod unknown;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::fault::FieldPath;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// A type that provides its template document.
pub(crate) trait Template: Serialize + DeserializeOwned {
    /// A valid value in which every optional field is present and every list has an element.
    fn template() -> Self;
}

/// A deserialized document, with placeholders in place of its invalid values.
pub(crate) struct ParsedDocument<T> {
    /// May contain placeholders if `errors` is not empty: then it can be checked further, but must
    /// not be used.
    pub(crate) value: T,
    /// Unknown fields, missing fields and values that cannot be deserialized.
    pub(crate) errors: Vec<ValidationError>,
    /// Paths of the placeholders.
    placeholders: Vec<FieldPath>,
}

impl<T> ParsedDocument<T> {
    /// Adds the errors that checks of `value` have found, without those that a placeholder may have
    /// caused.
    pub(crate) fn with_check_errors(
        self,
        found: Vec<ValidationError>,
    ) -> (T, Vec<ValidationError>) {
        let placeholders = self.placeholders;
        let mut errors = self.errors;
        errors.extend(found.into_iter().filter(|f| is_genuine(f, &placeholders)));
        (self.value, errors)
    }
}

/// Whether no placeholder can have caused the error.
///
/// For a reference or a duplicate, that may be a placeholder anywhere in the document.
fn is_genuine(error: &ValidationError, placeholders: &[FieldPath]) -> bool {
    let is_original = |path: &FieldPath| placeholders.iter().all(|p| !path.is_within(p));
    let others_are_original = match &error.problem {
        Problem::Contradiction { other, .. } => is_original(other),
        Problem::UnknownName { .. } | Problem::Duplicate { .. } => placeholders.is_empty(),
        _ => true,
    };
    others_are_original && is_original(&error.path)
}

/// Bounds the attempts, each of which deserializes the whole document.
const MAX_ERRORS: usize = 100;

/// Deserializes a document, with placeholders for invalid values.
///
/// # Errors
///
/// The document has an error that no placeholder removes, or at least `MAX_ERRORS` errors.
pub(crate) fn read<T: Template>(
    mut document: Value,
) -> Result<ParsedDocument<T>, Vec<ValidationError>> {
    let template = serde_json::to_value(T::template()).unwrap_or_default();
    let mut errors = unknown::remove_unknown(&mut document, &template);
    let mut placeholders = Vec::new();
    while errors.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize(&document) {
            Ok(value) => {
                return Ok(ParsedDocument {
                    value,
                    errors,
                    placeholders,
                });
            }
            Err(error) => error,
        };
        let location = place::ErrorLocation::new(&error, &template);
        errors.push(location.validation_error(&document));
        if !location.insert_placeholder(&mut document, &template) {
            break;
        }
        placeholders.push(location.path());
    }
    Err(errors)
}
