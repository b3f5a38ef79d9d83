//! Paths and message bodies of the HTTP protocol, shared by the clients and the stand-in servers.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::Row;
use crate::RowKey;
use crate::RowWrite;

/// Reads rows by key; POST.
pub const READ_PATH: &str = "/v1/rows/read";
/// Reads rows by key prefix; POST.
pub const SCAN_PATH: &str = "/v1/rows/scan";
/// Commits writes; POST.
pub const COMMIT_PATH: &str = "/v1/rows/commit";
/// Parent path of objects, followed by `/` and the key; PUT and GET.
pub const OBJECTS_PATH: &str = "/v1/objects";

/// Request to read rows by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows; a key may name a row that does not exist.
    pub keys: Vec<RowKey>,
}

/// Reply to a read by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// One element for each key, in the order of the request; `None` if the row does not exist.
    pub rows: Vec<Option<Row>>,
}

/// Request to read rows by key prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Text with which the keys start.
    pub prefix: RowKey,
}

/// Reply to a read by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanReply {
    /// Matching rows, ordered by key.
    pub rows: Vec<Row>,
}

/// Request to commit writes.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Writes that are applied atomically, or not at all if a condition does not hold.
    pub writes: Vec<RowWrite>,
}

/// Reply to a commit that was applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitReply {
    /// Revision that the written rows have now.
    pub revision: Revision,
}

/// Reply to a commit that was not applied, with status 409.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Rows whose condition did not hold.
    pub conflicts: Vec<RowKey>,
}
