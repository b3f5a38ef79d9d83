//! The table service at the edge of the process.

use std::pin::Pin;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::CommitError;
use crate::StoreError;

/// A future that a trait object returns.
pub type ResultFuture<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send + 'a>>;

/// Key of a row; `/` separates its parts.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Wraps a key.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Revision of a row; every commit gives its rows a revision that no row ever had before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// One row as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: RowKey,
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub value: Value,
}

impl Row {
    /// The content as a type.
    ///
    /// # Errors
    ///
    /// The content does not have the form of the type.
    pub fn parse<T: for<'de> Deserialize<'de>>(&self) -> Result<T, StoreError> {
        T::deserialize(&self.value).map_err(|e| StoreError::Malformed {
            what: format!("row {}", self.key),
            message: e.to_string(),
        })
    }
}

/// What must hold of a row for a commit to be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Nothing.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    At(Revision),
}

/// What a commit does to a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// Writes the row.
    Put(Value),
    /// Removes the row.
    Delete,
}

/// One conditional write of a commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// What must hold.
    pub condition: Condition,
    /// What happens if every condition of the commit holds.
    pub change: RowChange,
}

impl RowWrite {
    /// Writes a row that must not exist.
    #[must_use]
    pub const fn insert(key: RowKey, value: Value) -> Self {
        Self::put(key, Condition::Absent, value)
    }

    /// Writes a row on a condition.
    #[must_use]
    pub const fn put(key: RowKey, condition: Condition, value: Value) -> Self {
        Self {
            key,
            condition,
            change: RowChange::Put(value),
        }
    }

    /// Removes a row on a condition.
    #[must_use]
    pub const fn delete(key: RowKey, condition: Condition) -> Self {
        Self {
            key,
            condition,
            change: RowChange::Delete,
        }
    }
}

/// The platform's transactional table service.
///
/// An implementation never repeats a commit on its own: the caller alone knows whether that is safe.
pub trait TableService: Send + Sync {
    /// Reads rows at one point in time; the reply has one element for each key, in their order.
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError>;

    /// Reads all rows whose key starts with `prefix`, in the order of their keys.
    fn scan(&self, prefix: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError>;

    /// Applies all writes if every condition holds, otherwise none.
    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError>;
}
