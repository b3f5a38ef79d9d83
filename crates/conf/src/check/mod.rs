//! Checks of single values that collect errors instead of stopping at the first.

mod known;

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub(crate) use known::KnownNames;

use crate::fault::Constraint;
use crate::fault::FieldPath;
use crate::fault::ItemKind;
use crate::fault::Problem;
use crate::fault::ValidationError;

/// Collects the errors of a document.
///
/// The methods named after a requirement add an error for each value that does not meet it.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    errors: Vec<ValidationError>,
}

impl Checker {
    pub(crate) fn into_errors(self) -> Vec<ValidationError> {
        self.errors
    }

    pub(crate) fn add(&mut self, path: FieldPath, problem: Problem) {
        self.errors.push(ValidationError { path, problem });
    }

    /// The value must be in the range; NaN never is.
    pub(crate) fn in_range<T>(&mut self, path: FieldPath, value: T, allowed: &RangeInclusive<T>)
    where
        T: PartialOrd + Display + Copy,
    {
        if !allowed.contains(&value) {
            let problem = Problem::OutOfRange {
                value: value.to_string(),
                min: allowed.start().to_string(),
                max: allowed.end().to_string(),
            };
            self.add(path, problem);
        }
    }

    /// The value of a field must not be larger than that of another.
    pub(crate) fn at_most<T>(&mut self, field: (FieldPath, T), other: (FieldPath, T))
    where
        T: PartialOrd + Display,
    {
        if field.1 > other.1 {
            self.add_contradiction(field.0, &field.1, other.0, Constraint::AtMost);
        }
    }

    pub(crate) fn add_contradiction(
        &mut self,
        path: FieldPath,
        value: &impl Display,
        other: FieldPath,
        constraint: Constraint,
    ) {
        let value = value.to_string();
        self.add(
            path,
            Problem::Contradiction {
                value,
                other,
                constraint,
            },
        );
    }

    /// A list or string must not be empty.
    pub(crate) fn not_empty(&mut self, path: FieldPath, is_empty: bool, kind: ItemKind) {
        if is_empty {
            self.add(path, Problem::Empty { kind });
        }
    }

    /// The address must have a port other than 0 and a specified IP address.
    pub(crate) fn dialable(&mut self, path: FieldPath, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let value = address.to_string();
            self.add(path, Problem::NotDialable { value });
        }
    }

    /// Each value must occur only once.
    pub(crate) fn unique<T>(&mut self, values: impl IntoIterator<Item = (FieldPath, T)>)
    where
        T: Eq + Hash + Display,
    {
        let mut first_paths = HashMap::new();
        for (path, value) in values {
            match first_paths.get(&value) {
                None => {
                    first_paths.insert(value, path);
                }
                Some(first) => {
                    let problem = Problem::Duplicate {
                        value: value.to_string(),
                        first: FieldPath::clone(first),
                    };
                    self.add(path, problem);
                }
            }
        }
    }

    /// Each element of a list must occur only once.
    pub(crate) fn unique_elements<T>(&mut self, path: &FieldPath, list: &[T])
    where
        T: Eq + Hash + Display,
    {
        let mut first_indices = HashMap::with_capacity(list.len());
        for (i, value) in list.iter().enumerate() {
            let first = *first_indices.entry(value).or_insert(i);
            if first != i {
                let problem = Problem::Duplicate {
                    value: value.to_string(),
                    first: path.index(first),
                };
                self.add(path.index(i), problem);
            }
        }
    }

    /// Each name of a list must be defined.
    pub(crate) fn all_known<T>(&mut self, path: &FieldPath, names: &[T], known: &KnownNames<T>)
    where
        T: Eq + Hash + Display,
    {
        for (i, name) in names.iter().enumerate() {
            if !known.contains(name) {
                self.add(path.index(i), known.unknown_name(name));
            }
        }
    }

    /// The name must be defined.
    pub(crate) fn known<T>(&mut self, path: FieldPath, name: &T, known: &KnownNames<T>)
    where
        T: Eq + Hash + Display,
    {
        if !known.contains(name) {
            self.add(path, known.unknown_name(name));
        }
    }
}

/// Iterates over the elements of a list with their paths.
pub(crate) fn indexed<'a, 'p, T>(
    path: &'p FieldPath,
    list: &'a [T],
) -> impl Iterator<Item = (FieldPath, &'a T)> + use<'a, 'p, T> {
    list.iter()
        .enumerate()
        .map(|(i, element)| (path.index(i), element))
}
