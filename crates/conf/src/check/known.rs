//! Names that other parts of a document may refer to.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use crate::fault::ItemKind;
use crate::fault::Problem;

/// Keeps an error short when the inventory defines thousands of names.
const MAX_NAMES_IN_ERROR: usize = 8;

/// All names of one kind that a document defines.
pub(crate) struct KnownNames<'a, T> {
    kind: ItemKind,
    /// In the order of the document.
    ordered: Vec<&'a T>,
    set: HashSet<&'a T>,
}

impl<'a, T: Eq + Hash + Display> KnownNames<'a, T> {
    pub(crate) fn new(kind: ItemKind, names: impl IntoIterator<Item = &'a T>) -> Self {
        let ordered: Vec<&T> = names.into_iter().collect();
        let set = ordered.iter().copied().collect();
        Self { kind, ordered, set }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    pub(crate) fn contains(&self, name: &T) -> bool {
        self.set.contains(name)
    }

    /// Error for a name that is not defined.
    pub(crate) fn unknown_name(&self, name: &T) -> Problem {
        let shown = self.ordered.iter().take(MAX_NAMES_IN_ERROR);
        Problem::UnknownName {
            value: name.to_string(),
            kind: self.kind,
            known: shown.map(ToString::to_string).collect(),
            omitted: self.ordered.len().saturating_sub(MAX_NAMES_IN_ERROR),
        }
    }
}
