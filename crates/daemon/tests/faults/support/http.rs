//! Requests over connections of their own, so that each outcome is that of one request.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::GENEROUS;

const SUBMISSION_HEADER: &str = "dragonflyshed-submission";

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection; nothing was sent.
    NotConnected,
    /// The connection broke.
    Broken(String),
    /// No answer in time.
    Timeout,
}

/// Status and JSON body.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

/// One request.
#[derive(Debug)]
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: &'a str,
    /// Name that the caller gives its submission.
    pub name: &'a str,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

impl<'a> Call<'a> {
    pub fn post(path: &'a str, token: &'a str, body: &Value) -> Self {
        Self {
            method: Method::POST,
            path,
            token,
            name: "",
            body: body.to_string().into_bytes(),
            timeout: GENEROUS,
        }
    }

    pub fn get(path: &'a str, token: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            token,
            name: "",
            body: Vec::new(),
            timeout: GENEROUS,
        }
    }

    pub async fn send(self, to: SocketAddr) -> Result<Reply, CallError> {
        let timeout = self.timeout;
        let reply = tokio::time::timeout(timeout, self.exchange(to)).await;
        reply.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(self, to: SocketAddr) -> Result<Reply, CallError> {
        let broken = |error: hyper::Error| CallError::Broken(error.to_string());
        let stream = TcpStream::connect(to).await;
        let stream = stream.map_err(|_| CallError::NotConnected)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(broken)?;
        let connection = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", to.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        if !self.name.is_empty() {
            request = request.header(SUBMISSION_HEADER, self.name);
        }
        let request = request.body(Full::new(Bytes::from(self.body))).unwrap();
        let response = sender.send_request(request).await.map_err(broken)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(broken)?;
        connection.abort();
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        Ok(Reply { status, body })
    }
}
