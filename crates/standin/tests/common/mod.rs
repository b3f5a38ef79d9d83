//! JSON requests over HTTP to a stand-in.

#![allow(dead_code)]

use std::net::SocketAddr;

use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Status and JSON body of a reply; the body is null if it is not JSON.
pub type Reply = (StatusCode, Value);

pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Reply, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = client.request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
}

pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    send_request(address, Method::POST, path, body)
        .await
        .unwrap()
        .1
}

pub async fn get(address: SocketAddr, path: &str) -> Value {
    let reply = send_request(address, Method::GET, path, &Value::Null).await;
    reply.unwrap().1
}
