//! Interface of the object store.

use derive_more::Display;
use sha2::Digest;
use sha2::Sha256;

use crate::ResultFuture;
use crate::StoreError;

/// Key of an object: the SHA-256 digest of its content.
///
/// Content addressing means that a repeated or delayed write never changes what a reader gets, and
/// that truncated content is detected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Computes the key of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(format!("{:x}", Sha256::digest(content)))
    }
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object. Idempotent.
    fn put(&self, key: ObjectKey, content: Vec<u8>) -> ResultFuture<'_, (), StoreError>;

    /// Reads an object; `None` if it does not exist.
    fn get(&self, key: ObjectKey) -> ResultFuture<'_, Option<Vec<u8>>, StoreError>;
}
