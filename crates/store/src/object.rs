//! The object store at the edge of the process.

use derive_more::Display;
use sha2::Digest;
use sha2::Sha256;

use crate::ResultFuture;
use crate::StoreError;

/// Key of an object: the SHA-256 digest of its content.
///
/// So a repeated or late put never changes what a reader gets, and a body cut short is detected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Key of a content.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(format!("{:x}", Sha256::digest(content)))
    }
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object; safe to repeat.
    fn put(&self, key: ObjectKey, content: Vec<u8>) -> ResultFuture<'_, (), StoreError>;

    /// Reads an object, or none if it does not exist.
    fn get(&self, key: ObjectKey) -> ResultFuture<'_, Option<Vec<u8>>, StoreError>;
}
