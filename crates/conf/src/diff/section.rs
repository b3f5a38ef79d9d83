//! Diffs between two lists of elements with unique names.

use std::collections::HashMap;
use std::hash::Hash;

use dfs_ids::GroupId;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

use crate::Group;
use crate::Queue;
use crate::Service;
use crate::Target;

/// An element of an inventory list, identified by a name that is unique in the list.
pub trait Keyed: Clone + PartialEq {
    /// Type of the name.
    type Key: Clone + Eq + Hash;

    /// The name, unique in the list.
    fn key(&self) -> &Self::Key;
}

impl Keyed for Service {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

impl Keyed for Group {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.group
    }
}

impl Keyed for Queue {
    type Key = QueueName;

    fn key(&self) -> &QueueName {
        &self.queue
    }
}

impl Keyed for Target {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.target
    }
}

/// The changes from one list to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(
    rename_all = "snake_case",
    bound(
        serialize = "T: Serialize, T::Key: Serialize",
        deserialize = "T: Deserialize<'de>, T::Key: Deserialize<'de>"
    )
)]
pub enum SectionDiff<T: Keyed> {
    /// The lists are equal.
    #[default]
    #[serde(rename = "same")]
    Unchanged,
    /// Elements are replaced in place, removed, or appended to the list.
    Edited {
        /// New and changed elements.
        changed: Vec<T>,
        /// Names of the removed elements.
        removed: Vec<T::Key>,
    },
    /// The new list in full, because the order of its elements cannot be reached by edits.
    Replaced(Vec<T>),
}

impl<T: Keyed> SectionDiff<T> {
    /// Whether the lists are equal.
    #[must_use]
    pub const fn is_unchanged(&self) -> bool {
        matches!(self, Self::Unchanged)
    }

    /// Computes the changes from `old` to `new`.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        if old == new {
            return Self::Unchanged;
        }
        let edited = Self::edits(old, new);
        if edited.apply(old) == new {
            edited
        } else {
            Self::Replaced(new.to_vec())
        }
    }

    fn edits(old: &[T], new: &[T]) -> Self {
        let old_by_key = by_key(old);
        let new_by_key = by_key(new);
        let is_changed = |element: &&T| old_by_key.get(element.key()) != Some(element);
        let is_removed = |element: &&T| !new_by_key.contains_key(element.key());
        Self::Edited {
            changed: new.iter().filter(is_changed).cloned().collect(),
            removed: old
                .iter()
                .filter(is_removed)
                .map(|element| element.key().clone())
                .collect(),
        }
    }

    /// Applies the changes to `old` and returns the new list.
    #[must_use]
    pub fn apply(&self, old: &[T]) -> Vec<T> {
        match self {
            Self::Unchanged => old.to_vec(),
            Self::Replaced(new) => new.clone(),
            Self::Edited { changed, removed } => apply_edits(old, changed, removed),
        }
    }
}

fn apply_edits<T: Keyed>(old: &[T], changed: &[T], removed: &[T::Key]) -> Vec<T> {
    let old_by_key = by_key(old);
    let changed_by_key = by_key(changed);
    let kept = old
        .iter()
        .filter(|element| !removed.contains(element.key()))
        .map(|element| {
            changed_by_key
                .get(element.key())
                .copied()
                .unwrap_or(element)
        });
    let added = changed
        .iter()
        .filter(|element| !old_by_key.contains_key(element.key()));
    kept.chain(added).cloned().collect()
}

fn by_key<T: Keyed>(list: &[T]) -> HashMap<&T::Key, &T> {
    list.iter()
        .map(|element| (element.key(), element))
        .collect()
}
