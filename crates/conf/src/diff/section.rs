//! Differences between two lists of named elements.

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

/// An element of the inventory with a unique name.
pub trait Keyed: Clone + PartialEq {
    /// Its name.
    type Key: Clone + Eq + Hash;

    /// The name of the element.
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

/// What turns one list into another.
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
    Same,
    /// Elements are replaced in their place, removed, or added at the end.
    Edited {
        /// Elements that are new or differ.
        changed: Vec<T>,
        /// Names of the elements that are gone.
        removed: Vec<T::Key>,
    },
    /// Another list, because the order differs too.
    Replaced(Vec<T>),
}

impl<T: Keyed> SectionDiff<T> {
    /// Whether the lists are equal.
    #[must_use]
    pub const fn is_same(&self) -> bool {
        matches!(self, Self::Same)
    }

    /// The difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        if old == new {
            return Self::Same;
        }
        let edited = Self::edited(old, new);
        if edited.apply(old) == new {
            edited
        } else {
            Self::Replaced(new.to_vec())
        }
    }

    fn edited(old: &[T], new: &[T]) -> Self {
        let before = by_key(old);
        let after = by_key(new);
        let is_changed = |element: &&T| before.get(element.key()) != Some(element);
        let is_removed = |element: &&T| !after.contains_key(element.key());
        Self::Edited {
            changed: new.iter().filter(is_changed).cloned().collect(),
            removed: old
                .iter()
                .filter(is_removed)
                .map(|element| element.key().clone())
                .collect(),
        }
    }

    /// The later list.
    #[must_use]
    pub fn apply(&self, old: &[T]) -> Vec<T> {
        match self {
            Self::Same => old.to_vec(),
            Self::Replaced(new) => new.clone(),
            Self::Edited { changed, removed } => edit(old, changed, removed),
        }
    }
}

fn edit<T: Keyed>(old: &[T], changed: &[T], removed: &[T::Key]) -> Vec<T> {
    let before = by_key(old);
    let after = by_key(changed);
    let kept = old
        .iter()
        .filter(|element| !removed.contains(element.key()))
        .map(|element| after.get(element.key()).copied().unwrap_or(element));
    let added = changed
        .iter()
        .filter(|element| !before.contains_key(element.key()));
    kept.chain(added).cloned().collect()
}

fn by_key<T: Keyed>(list: &[T]) -> HashMap<&T::Key, &T> {
    list.iter()
        .map(|element| (element.key(), element))
        .collect()
}
