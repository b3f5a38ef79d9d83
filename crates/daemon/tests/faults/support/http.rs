//! HTTP client. It opens one connection per request, so that a broken connection affects only one,
//! unless a test keeps a [`Connection`] open.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::WAIT_TIMEOUT;

const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    NotConnected,
    /// The connection failed after it was opened; the request may have been received.
    Broken(String),
    /// No complete answer arrived within the timeout.
    Timeout,
}

/// Status and JSON body; the body is `null` if it is not JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

#[derive(Debug)]
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: &'a str,
    /// Submission name that the caller chooses; sent as a header unless empty.
    pub submission: &'a str,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

impl<'a> Call<'a> {
    pub fn post(path: &'a str, token: &'a str, body: &Value) -> Self {
        Self {
            method: Method::POST,
            path,
            token,
            submission: "",
            body: body.to_string().into_bytes(),
            timeout: WAIT_TIMEOUT,
        }
    }

    pub fn get(path: &'a str, token: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            token,
            submission: "",
            body: Vec::new(),
            timeout: WAIT_TIMEOUT,
        }
    }

    pub async fn send(self, address: SocketAddr) -> Result<Reply, CallError> {
        let timeout = self.timeout;
        let reply = tokio::time::timeout(timeout, self.exchange(address)).await;
        reply.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(self, address: SocketAddr) -> Result<Reply, CallError> {
        Connection::open(address).await?.exchange(self).await
    }
}

/// A connection to an entry that carries any number of requests, one after the other.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| CallError::NotConnected)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(broken)?;
        Ok(Self {
            address,
            sender,
            driver: tokio::spawn(connection),
        })
    }

    pub async fn send(&mut self, call: Call<'_>) -> Result<Reply, CallError> {
        let reply = tokio::time::timeout(call.timeout, self.exchange(call)).await;
        reply.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(&mut self, call: Call<'_>) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header("host", self.address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", call.token));
        if !call.submission.is_empty() {
            request = request.header(SUBMISSION_HEADER, call.submission);
        }
        let request = request.body(Full::new(Bytes::from(call.body))).unwrap();
        let response = self.sender.send_request(request).await.map_err(broken)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(broken)?;
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        Ok(Reply { status, body })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn broken(error: hyper::Error) -> CallError {
    CallError::Broken(error.to_string())
}
