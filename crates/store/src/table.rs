//! Interface of the table service.

use std::pin::Pin;

use derive_more::Display;
use derive_more::From;
use dfs_ids::Revision;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::CommitError;
use crate::StoreError;

/// Boxed future of a fallible call, so that the store traits can be used as trait objects.
pub type ResultFuture<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send + 'a>>;

/// Key of a row, a path whose segments are separated by `/`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Uses `key` as it is, without validation.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// The whole key, with all its segments.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key under which the row is stored.
    pub key: RowKey,
    /// Revision that the last write gave the row.
    pub revision: Revision,
    /// Content, a JSON value; null if it can't be decoded.
    #[serde(deserialize_with = "decode_or_null")]
    pub value: Value,
}

/// Reads a value that is nested too deeply or holds a number out of range as null: one such row does not make the rows
/// beside it unreadable.
fn decode_or_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
    let value = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(value.get()).unwrap_or(Value::Null))
}

impl Row {
    /// Deserializes the content.
    ///
    /// # Errors
    ///
    /// [`StoreError::Malformed`] if the content does not match `T`.
    pub fn parse<T: for<'de> Deserialize<'de>>(&self) -> Result<T, StoreError> {
        T::deserialize(&self.value).map_err(|e| StoreError::Malformed {
            what: format!("row {}", self.key),
            message: e.to_string(),
        })
    }
}

/// Precondition on a row; a commit is applied only if all of its conditions hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Always holds.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this revision.
    At(Revision),
}

/// What a commit does to one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// Creates the row or replaces its content.
    Put(Value),
    /// Removes the row if it exists.
    Delete,
}

/// One conditional write of a commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Row that is written.
    pub key: RowKey,
    /// Precondition on the row.
    pub condition: Condition,
    /// Applied if every condition of the commit holds.
    pub change: RowChange,
}

impl RowWrite {
    /// Creates a row that must not exist yet.
    #[must_use]
    pub const fn insert(key: RowKey, value: Value) -> Self {
        Self::put(key, Condition::Absent, value)
    }

    /// Creates or replaces a row if `condition` holds.
    #[must_use]
    pub const fn put(key: RowKey, condition: Condition, value: Value) -> Self {
        Self {
            key,
            condition,
            change: RowChange::Put(value),
        }
    }

    /// Removes a row if `condition` holds.
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
/// Implementations must not retry a commit on their own, since only the caller knows whether that
/// is safe.
pub trait TableService: Send + Sync {
    /// Reads rows as of one point in time. The result has one element for each key, in the order of
    /// `keys`; `None` stands for a row that does not exist.
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError>;

    /// Reads all rows whose key starts with `prefix`, ordered by key.
    fn scan(&self, prefix: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError>;

    /// Applies all writes atomically if every condition holds, otherwise none of them. Returns the
    /// revision that the written rows have now.
    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError>;
}
