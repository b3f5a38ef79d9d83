//! The table service over HTTP.

use std::net::SocketAddr;

use dfs_ids::Millis;
use http::StatusCode;

use super::client::HttpClient;
use super::client::parse_body;
use super::protocol::COMMIT_PATH;
use super::protocol::CommitReply;
use super::protocol::CommitRequest;
use super::protocol::ConflictReply;
use super::protocol::READ_PATH;
use super::protocol::ReadReply;
use super::protocol::ReadRequest;
use super::protocol::SCAN_PATH;
use super::protocol::ScanReply;
use super::protocol::ScanRequest;
use crate::CommitError;
use crate::ResultFuture;
use crate::Revision;
use crate::Row;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;

/// Client of a table service that speaks [`crate::protocol`].
#[derive(Debug, Clone)]
pub struct HttpTable {
    client: HttpClient,
}

impl HttpTable {
    /// Creates a client, which connects on first use. `timeout_ms` bounds each exchange as a whole.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }

    async fn read_rows(&self, keys: Vec<RowKey>) -> Result<Vec<Option<Row>>, StoreError> {
        let expected = keys.len();
        let reply = self.client.post(READ_PATH, &ReadRequest { keys }).await?;
        let rows = self.client.parse_success::<ReadReply>(&reply)?.rows;
        if rows.len() != expected {
            return Err(StoreError::Malformed {
                what: "reply".to_owned(),
                message: format!("{} rows for {expected} keys", rows.len()),
            });
        }
        Ok(rows)
    }

    async fn scan_rows(&self, prefix: RowKey) -> Result<Vec<Row>, StoreError> {
        let reply = self.client.post(SCAN_PATH, &ScanRequest { prefix }).await?;
        Ok(self.client.parse_success::<ScanReply>(&reply)?.rows)
    }

    async fn commit_rows(&self, writes: Vec<RowWrite>) -> Result<Revision, CommitError> {
        let request = CommitRequest { writes };
        let reply = self.client.post(COMMIT_PATH, &request).await?;
        if reply.status == StatusCode::CONFLICT {
            let keys = parse_body::<ConflictReply>(&reply.body)?.conflicts;
            return Err(CommitError::Conflict { keys });
        }
        Ok(self.client.parse_success::<CommitReply>(&reply)?.revision)
    }
}

impl TableService for HttpTable {
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError> {
        Box::pin(self.read_rows(keys))
    }

    fn scan(&self, prefix: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError> {
        Box::pin(self.scan_rows(prefix))
    }

    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError> {
        Box::pin(self.commit_rows(writes))
    }
}
