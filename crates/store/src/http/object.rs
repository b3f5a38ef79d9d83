//! The object store over HTTP.

use std::net::SocketAddr;

use dfs_ids::Millis;
use http::Method;
use http::StatusCode;

use super::client::HttpClient;
use super::protocol::OBJECTS_PATH;
use crate::ObjectKey;
use crate::ObjectStore;
use crate::ResultFuture;
use crate::StoreError;

/// Client of an object store that speaks [`crate::protocol`].
#[derive(Debug, Clone)]
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    /// Creates a client, which connects on first use. `timeout_ms` bounds each exchange as a whole.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }

    async fn put_object(&self, key: ObjectKey, content: Vec<u8>) -> Result<(), StoreError> {
        let path = format!("{OBJECTS_PATH}/{key}");
        let reply = self.client.exchange(Method::PUT, &path, content).await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            status => Err(self.client.unexpected_status(status)),
        }
    }

    async fn get_object(&self, key: ObjectKey) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("{OBJECTS_PATH}/{key}");
        let reply = self.client.exchange(Method::GET, &path, Vec::new()).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.client.unexpected_status(status)),
        }
    }
}

impl ObjectStore for HttpObjects {
    fn put(&self, key: ObjectKey, content: Vec<u8>) -> ResultFuture<'_, (), StoreError> {
        Box::pin(self.put_object(key, content))
    }

    fn get(&self, key: ObjectKey) -> ResultFuture<'_, Option<Vec<u8>>, StoreError> {
        Box::pin(self.get_object(key))
    }
}
