//! Names that a document may refer to.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use crate::fault::Kind;
use crate::fault::Problem;

/// Most names that a fault lists.
const MAX_LISTED: usize = 8;

/// All names of one kind.
pub(crate) struct Known<'a, T> {
    kind: Kind,
    /// In the order of the document.
    list: Vec<&'a T>,
    set: HashSet<&'a T>,
}

impl<'a, T: Eq + Hash + Display> Known<'a, T> {
    pub(crate) fn new(kind: Kind, names: impl IntoIterator<Item = &'a T>) -> Self {
        let list: Vec<&T> = names.into_iter().collect();
        let set = list.iter().copied().collect();
        Self { kind, list, set }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn contains(&self, name: &T) -> bool {
        self.set.contains(name)
    }

    /// The fault of a name that is not among them.
    pub(crate) fn unknown(&self, name: &T) -> Problem {
        let listed = self.list.iter().take(MAX_LISTED);
        Problem::UnknownName {
            value: name.to_string(),
            kind: self.kind,
            known: listed.map(ToString::to_string).collect(),
            not_listed: self.list.len().saturating_sub(MAX_LISTED),
        }
    }
}
