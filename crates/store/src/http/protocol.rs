//! Paths and bodies of the HTTP implementation, shared with the stand-ins.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::Row;
use crate::RowKey;
use crate::RowWrite;

/// Path of reads by key.
pub const READ_PATH: &str = "/v1/rows/read";
/// Path of reads by prefix.
pub const SCAN_PATH: &str = "/v1/rows/scan";
/// Path of commits.
pub const COMMIT_PATH: &str = "/v1/rows/commit";
/// Path under which objects lie.
pub const OBJECTS_PATH: &str = "/v1/objects";

/// Body of a read by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    pub keys: Vec<RowKey>,
}

/// Reply to a read by key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// One element for each key.
    pub rows: Vec<Option<Row>>,
}

/// Body of a read by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Start of the keys.
    pub prefix: RowKey,
}

/// Reply to a read by prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanReply {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Body of a commit.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Writes that are applied together.
    pub writes: Vec<RowWrite>,
}

/// Reply to a commit that was applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitReply {
    /// Revision of its rows.
    pub revision: Revision,
}

/// Reply to a commit that was not applied, with status 409.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Rows whose condition did not hold.
    pub conflicts: Vec<RowKey>,
}
