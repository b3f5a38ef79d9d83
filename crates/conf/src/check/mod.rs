//! Collects errors while a document is checked.

mod known;

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub(crate) use known::Known;

use crate::fault::FieldPath;
use crate::fault::Kind;
use crate::fault::Problem;
use crate::fault::Rule;
use crate::fault::ValidationError;

/// The errors found so far.
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

    /// A number must lie in a range; a NaN lies in none.
    pub(crate) fn range<T>(&mut self, path: FieldPath, value: T, allowed: &RangeInclusive<T>)
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

    /// A value must not be larger than that of another field.
    pub(crate) fn at_most<T>(&mut self, field: (FieldPath, T), other: (FieldPath, T))
    where
        T: PartialOrd + Display,
    {
        if field.1 > other.1 {
            self.contradiction(field.0, &field.1, other.0, Rule::AtMost);
        }
    }

    pub(crate) fn contradiction(
        &mut self,
        path: FieldPath,
        value: &impl Display,
        other: FieldPath,
        rule: Rule,
    ) {
        let value = value.to_string();
        self.add(path, Problem::Contradiction { value, other, rule });
    }

    /// A list or text must not be empty.
    pub(crate) fn not_empty(&mut self, path: FieldPath, is_empty: bool, kind: Kind) {
        if is_empty {
            self.add(path, Problem::Empty { kind });
        }
    }

    /// An address must name a port and an IP number.
    pub(crate) fn dialable(&mut self, path: FieldPath, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let value = address.to_string();
            self.add(path, Problem::NotDialable { value });
        }
    }

    /// Every value must occur once.
    pub(crate) fn unique<T>(&mut self, values: impl IntoIterator<Item = (FieldPath, T)>)
    where
        T: Eq + Hash + Display,
    {
        let mut firsts = HashMap::new();
        for (path, value) in values {
            match firsts.get(&value) {
                None => {
                    firsts.insert(value, path);
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

    /// Every element of a list must occur once.
    pub(crate) fn unique_list<T>(&mut self, path: &FieldPath, list: &[T])
    where
        T: Eq + Hash + Display,
    {
        let mut firsts = HashMap::with_capacity(list.len());
        for (i, value) in list.iter().enumerate() {
            let first = *firsts.entry(value).or_insert(i);
            if first != i {
                let problem = Problem::Duplicate {
                    value: value.to_string(),
                    first: path.index(first),
                };
                self.add(path.index(i), problem);
            }
        }
    }

    /// Every name of a list must be known.
    pub(crate) fn all_known<T>(&mut self, path: &FieldPath, names: &[T], known: &Known<T>)
    where
        T: Eq + Hash + Display,
    {
        for (i, name) in names.iter().enumerate() {
            if !known.contains(name) {
                self.add(path.index(i), known.unknown(name));
            }
        }
    }

    /// A name must be known.
    pub(crate) fn is_known<T>(&mut self, path: FieldPath, name: &T, known: &Known<T>)
    where
        T: Eq + Hash + Display,
    {
        if !known.contains(name) {
            self.add(path, known.unknown(name));
        }
    }
}

/// Pairs the elements of a list with their paths.
pub(crate) fn indexed<'a, 'p, T>(
    path: &'p FieldPath,
    list: &'a [T],
) -> impl Iterator<Item = (FieldPath, &'a T)> + use<'a, 'p, T> {
    list.iter()
        .enumerate()
        .map(|(i, element)| (path.index(i), element))
}
