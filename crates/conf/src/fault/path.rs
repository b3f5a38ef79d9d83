//! Paths of values in a JSON document.

use derive_more::Display;
use derive_more::From;
use serde::Serialize;

/// Path of a value in a JSON document, such as `groups[2].share`; empty for the document itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize)]
#[serde(transparent)]
pub struct FieldPath(String);

impl FieldPath {
    /// Takes the text as it is; its syntax is not checked.
    #[must_use]
    pub fn new(path: impl Into<String>) -> Self {
        Self(path.into())
    }

    /// Whether the path is that of the document itself.
    pub(super) const fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// Path of the field `name` of the object at this path.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        if self.0.is_empty() {
            Self(name.to_owned())
        } else {
            Self(format!("{self}.{name}"))
        }
    }

    /// Path of the element at `index` of the list at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{self}[{index}]"))
    }

    /// Converts a path within the document at `outer` to one from the root of the outer document.
    pub(super) fn nested_in(&self, outer: &Self) -> Self {
        match self.0.chars().next() {
            None => outer.clone(),
            Some('[') => Self(format!("{outer}{self}")),
            Some(_) => outer.field(&self.0),
        }
    }

    /// Whether the path equals `outer` or is below it.
    #[must_use]
    pub fn is_within(&self, outer: &Self) -> bool {
        self.0.strip_prefix(&outer.0).is_some_and(|rest| {
            outer.0.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
        })
    }
}
