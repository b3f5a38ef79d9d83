//! HTTP client for the platform's services.

use std::net::SocketAddr;

use dfs_ids::Millis;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StoreError;

/// Largest body of a reply; a larger one is an error.
const MAX_REPLY_BYTES: usize = 64 << 20;
/// Largest number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Client of one service. It never sends a request twice, since only the caller knows whether that
/// is safe.
#[derive(Debug, Clone)]
pub(super) struct HttpClient {
    address: SocketAddr,
    timeout_ms: Millis,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Status and body of a reply.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

impl HttpClient {
    pub(super) fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the timeout of the whole exchange, so that a failed connection attempt is
        // reported as such: the request was certainly not sent. The overall timeout could not tell.
        connector.set_connect_timeout(Some(std::time::Duration::from(timeout_ms) / 2));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            address,
            timeout_ms,
            client,
        }
    }

    /// Sends a POST request with a JSON body.
    pub(super) async fn post<T>(&self, path: &str, body: &T) -> Result<Reply, StoreError>
    where
        T: Serialize + Sync,
    {
        let json = serde_json::to_vec(body).map_err(|e| StoreError::Malformed {
            what: format!("request to {path}"),
            message: e.to_string(),
        })?;
        self.exchange(Method::POST, path, json).await
    }

    /// Sends one request and reads the complete reply, whatever its status.
    pub(super) async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| StoreError::Malformed {
                what: format!("request to {path}"),
                message: e.to_string(),
            })?;
        tokio::time::timeout(self.timeout_ms.into(), self.send(request))
            .await
            .unwrap_or_else(|_| {
                Err(StoreError::Timeout {
                    address: self.address,
                    timeout_ms: self.timeout_ms,
                })
            })
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, StoreError> {
        let response = self.client.request(request).await.map_err(|e| {
            let message = e.to_string();
            let address = self.address;
            if e.is_connect() {
                StoreError::Connect { address, message }
            } else {
                StoreError::ConnectionLost { address, message }
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|e| StoreError::ConnectionLost {
                address: self.address,
                message: e.to_string(),
            })?;
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }

    /// The error for a status that the caller does not handle.
    pub(super) fn unexpected_status(&self, status: StatusCode) -> StoreError {
        let address = self.address;
        let status_code = status.as_u16();
        if status.is_client_error() {
            StoreError::Rejected {
                address,
                status: status_code,
            }
        } else {
            StoreError::Failed {
                address,
                status: status_code,
            }
        }
    }

    /// Parses the body of a reply with status 200; any other status is an error.
    pub(super) fn parse_success<T: DeserializeOwned>(
        &self,
        reply: &Reply,
    ) -> Result<T, StoreError> {
        match reply.status {
            StatusCode::OK => parse_body(&reply.body),
            status => Err(self.unexpected_status(status)),
        }
    }
}

/// Parses a body regardless of the status of its reply.
pub(super) fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Malformed {
        what: "reply".to_owned(),
        message: e.to_string(),
    })
}
