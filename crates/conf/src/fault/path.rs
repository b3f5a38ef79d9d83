//! Places of values in a document.

use derive_more::Display;
use derive_more::From;
use serde::Serialize;

/// Place of a value in a document, as `groups[2].share`; empty for the whole document.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize)]
#[serde(transparent)]
pub struct FieldPath(String);

impl FieldPath {
    /// A path from its text.
    #[must_use]
    pub fn new(path: impl Into<String>) -> Self {
        Self(path.into())
    }

    /// Whether this is the whole document.
    pub(super) const fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// The path of a field of this value.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        if self.0.is_empty() {
            Self(name.to_owned())
        } else {
            Self(format!("{self}.{name}"))
        }
    }

    /// The path of an element of this value.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{self}[{index}]"))
    }

    /// The same path, seen from a document in which `outer` is this one.
    pub(super) fn inside(&self, outer: &Self) -> Self {
        match self.0.chars().next() {
            None => outer.clone(),
            Some('[') => Self(format!("{outer}{self}")),
            Some(_) => outer.field(&self.0),
        }
    }

    /// Whether this is `outer` or a part of it.
    #[must_use]
    pub fn is_within(&self, outer: &Self) -> bool {
        self.0.strip_prefix(&outer.0).is_some_and(|rest| {
            outer.0.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
        })
    }
}
