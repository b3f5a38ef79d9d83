//! Diffs between two lists of elements with unique names.

use std::collections::HashMap;
use std::collections::HashSet;
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
    /// Elements are replaced in place, removed, or inserted; the others keep their order.
    Spliced {
        /// Elements that keep their place.
        changed: Vec<T>,
        /// Names of the removed elements, and of those that move.
        removed: Vec<T::Key>,
        /// New elements and those that move, in ascending order of their places.
        inserted: Vec<Insertion<T>>,
    },
    /// The new list in full, because most of its elements are new.
    Replaced(Vec<T>),
}

/// An element and its place in the new list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Insertion<T> {
    /// Index in the new list.
    pub index: usize,
    /// The element.
    pub element: T,
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
            return edited;
        }
        let spliced = Self::splices(old, new);
        // Lists with repeated names can't be spliced; they only occur before the checks.
        if spliced.len() < new.len() && spliced.apply(old) == new {
            spliced
        } else {
            Self::Replaced(new.to_vec())
        }
    }

    /// Number of elements and names in the diff.
    fn len(&self) -> usize {
        match self {
            Self::Unchanged => 0,
            Self::Edited { changed, removed } => changed.len() + removed.len(),
            Self::Spliced {
                changed,
                removed,
                inserted,
            } => changed.len() + removed.len() + inserted.len(),
            Self::Replaced(new) => new.len(),
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

    fn splices(old: &[T], new: &[T]) -> Self {
        let old_by_key = by_key(old);
        let old_places: HashMap<_, _> = old.iter().map(T::key).zip(0..).collect();
        let kept = keys_in_order(new, &old_places);
        let is_kept = |element: &&T| kept.contains(element.key());
        let is_changed = |element: &&T| old_by_key.get(element.key()) != Some(element);
        let removed = old.iter().filter(|element| !is_kept(element));
        let inserted = new
            .iter()
            .enumerate()
            .filter(|(_, element)| !is_kept(element));
        Self::Spliced {
            changed: new
                .iter()
                .filter(is_kept)
                .filter(is_changed)
                .cloned()
                .collect(),
            removed: removed.map(|element| element.key().clone()).collect(),
            inserted: inserted
                .map(|(index, element)| Insertion {
                    index,
                    element: element.clone(),
                })
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
            Self::Spliced {
                changed,
                removed,
                inserted,
            } => {
                let mut list = apply_edits(old, changed, removed);
                for Insertion { index, element } in inserted {
                    list.insert((*index).min(list.len()), element.clone());
                }
                list
            }
        }
    }
}

/// Names of a longest selection of elements that stand in the same order in the old list.
fn keys_in_order<'a, T: Keyed>(
    new: &'a [T],
    old_places: &HashMap<&T::Key, usize>,
) -> HashSet<&'a T::Key> {
    let place = |element: &'a T| Some((element.key(), *old_places.get(element.key())?));
    let common: Vec<_> = new.iter().filter_map(place).collect();
    // For each length the selection of that length with the lowest last place, by the index of its last element.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = Vec::with_capacity(common.len());
    for (index, (_, place)) in common.iter().enumerate() {
        let length = ends.partition_point(|end| common[*end].1 < *place);
        previous.push(length.checked_sub(1).map(|shorter| ends[shorter]));
        if length == ends.len() {
            ends.push(index);
        } else {
            ends[length] = index;
        }
    }
    let last = ends.last().copied();
    let selection = std::iter::successors(last, |index| previous[*index]);
    selection.map(|index| common[index].0).collect()
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
