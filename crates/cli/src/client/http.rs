//! The HTTP client. It never retries a request that an entry may have received.

use std::net::SocketAddr;
use std::time::Duration;

use dfs_ids::Millis;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::ResultExt;

use super::Call;
use super::CallError;
use super::Reply;
use super::error::MalformedSnafu;
use crate::options::Token;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the body of a reply; a larger one counts as lost.
const MAX_REPLY_BYTES: usize = 256 << 20;
/// Header with the name that the caller gives its submission.
const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// Calls entries with one bearer token.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    token: Token,
    timeout: Millis,
}

impl Client {
    /// Creates a client; `timeout` is for each call, from connecting to the end of the reply.
    #[must_use]
    pub fn new(token: Token, timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            // A retried POST could submit the same work twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            token,
            timeout,
        }
    }

    /// Returns a client that shares the connections of this one and uses another token.
    #[must_use]
    pub fn with_token(&self, token: Token) -> Self {
        Self {
            token,
            ..self.clone()
        }
    }

    /// Sends a call to one entry and reads the complete reply.
    pub async fn send(&self, entry: SocketAddr, call: &Call) -> Result<Reply, CallError> {
        let request = self.request(entry, call)?;
        let exchange = async {
            let response = self.http.request(request).await;
            read(entry, response.map_err(|e| connection_error(entry, e))?).await
        };
        let timeout = self.timeout;
        tokio::time::timeout(timeout.into(), exchange)
            .await
            .unwrap_or(Err(CallError::Timeout { entry, timeout }))
    }

    /// Sends a call to the first entry that accepts a connection.
    ///
    /// It goes on to the next entry only if the one before received nothing, so no two entries get
    /// the call.
    ///
    /// # Panics
    ///
    /// Panics if `entries` is empty; clap requires at least one.
    pub async fn send_to_first(
        &self,
        entries: &[SocketAddr],
        call: &Call,
    ) -> Result<Reply, CallError> {
        let (last, others) = entries.split_last().expect("clap requires an entry");
        for entry in others {
            match self.send(*entry, call).await {
                Err(error) if error.nothing_sent() => {}
                result => return result,
            }
        }
        self.send(*last, call).await
    }

    fn request(&self, entry: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{entry}{}", call.path))
            .header(AUTHORIZATION, self.token.authorization());
        if !call.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some(submission) = &call.submission {
            builder = builder.header(SUBMISSION_HEADER, submission.as_str());
        }
        builder
            .body(Full::new(call.body.clone()))
            .context(MalformedSnafu { entry })
    }
}

fn connection_error(entry: SocketAddr, error: legacy::Error) -> CallError {
    let connected = !error.is_connect();
    let source = error.into();
    if connected {
        CallError::ReplyLost { entry, source }
    } else {
        CallError::Unreachable { entry, source }
    }
}

async fn read(entry: SocketAddr, response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    let collected = body.collect().await;
    let body = collected
        .map_err(|source| CallError::ReplyLost { entry, source })?
        .to_bytes();
    Ok(Reply {
        entry,
        status,
        body,
    })
}
