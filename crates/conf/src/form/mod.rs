//! Reads a document into a type and collects every fault of its form.
//!
//! Deserialization stops at its first error. To go on, the faulty value is replaced by that of a
//! template, a valid document in which every optional field is present and every list has an
//! element.

mod place;
mod unknown;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::fault::FieldPath;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// A type with a template document.
pub(crate) trait Template: Serialize + DeserializeOwned {
    /// A valid value in which every optional field is present and every list has an element.
    fn template() -> Self;
}

/// A document that was read, with placeholders for what could not be.
pub(crate) struct Form<T> {
    /// The document; only to be used if `errors` is empty.
    pub(crate) value: T,
    /// Errors of its form.
    pub(crate) errors: Vec<ValidationError>,
    /// Places whose value is a placeholder.
    replaced: Vec<FieldPath>,
}

impl<T> Form<T> {
    /// All errors: those of the form, and of `found` those that no placeholder has caused.
    pub(crate) fn with(self, found: Vec<ValidationError>) -> (T, Vec<ValidationError>) {
        let replaced = self.replaced;
        let mut errors = self.errors;
        errors.extend(found.into_iter().filter(|f| is_genuine(f, &replaced)));
        (self.value, errors)
    }
}

fn is_genuine(fault: &ValidationError, replaced: &[FieldPath]) -> bool {
    let genuine = |path: &FieldPath| replaced.iter().all(|r| !path.is_within(r));
    let related = match &fault.problem {
        Problem::Contradiction { other, .. } => genuine(other),
        Problem::UnknownName { .. } | Problem::Duplicate { .. } => replaced.is_empty(),
        _ => true,
    };
    related && genuine(&fault.path)
}

/// Most errors of the form that are looked for.
const MAX_ERRORS: usize = 100;

/// Reads a document.
///
/// # Errors
///
/// The document cannot be read even with placeholders.
pub(crate) fn read<T: Template>(mut document: Value) -> Result<Form<T>, Vec<ValidationError>> {
    let template = serde_json::to_value(T::template()).unwrap_or_default();
    let mut errors = unknown::remove_unknown(&mut document, &template);
    let mut replaced = Vec::new();
    while errors.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize(&document) {
            Ok(value) => {
                return Ok(Form {
                    value,
                    errors,
                    replaced,
                });
            }
            Err(error) => error,
        };
        let place = place::Place::of(&error, &template);
        errors.push(place.fault(&document));
        if !place.replace(&mut document, &template) {
            break;
        }
        replaced.push(place.path());
    }
    Err(errors)
}
