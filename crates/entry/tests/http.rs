//! The HTTP interface of entries without any target.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Bytes;
use dfs_conf::EntrySettings;
use dfs_conf::TokenDigest;
use dfs_entry::Entry;
use dfs_ids::EntryId;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use googletest::prelude::*;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

const SECRET: &str = "secret-of-the-tests";
const GROUP_TOKEN: &str = "group-token";
const TRIES: usize = 400;
const PAUSE: Duration = Duration::from_millis(20);

async fn start(platform: &Platform, name: &str) -> Entry {
    let at = platform.addresses();
    let settings: EntrySettings = serde_json::from_value(json!({
        "entry": name,
        "domain": "lagos",
        "listen_address": "127.0.0.1:0",
        "session_address": "127.0.0.1:0",
        "session_secret": SECRET,
        "store": {
            "table_address": at.table_address,
            "object_address": at.object_address,
            "poll_ms": 50,
        },
    }))
    .unwrap();
    let entry: EntryId = name.parse().unwrap();
    let metrics = Metrics::new(None, &ProcessName::Entry(entry)).unwrap();
    Entry::start(settings, metrics).await.unwrap()
}

async fn post(to: SocketAddr, path: &str, token: &str, body: &Value) -> Value {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{to}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::from(body.to_string()))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap()
}

fn first_config() -> Value {
    json!({
        "change": "first",
        "base": 0,
        "inventory": {
            "domains": ["lagos"],
            "operators": [{ "operator": "op", "token_sha256": TokenDigest::of("op") }],
            "services": [{ "service": "booking" }],
            "groups": [{
                "group": "binders",
                "share": 1.0,
                "tokens_sha256": [TokenDigest::of(GROUP_TOKEN)],
                "services": ["booking"],
            }],
        },
    })
}

/// Books a slot under a key; the pool has no target, so it cannot run.
async fn book(to: SocketAddr) -> Value {
    let body = json!({ "service": "booking", "body": {}, "request_key": "slot-7" });
    let answer = post(to, "/v1/requests", GROUP_TOKEN, &body).await;
    answer["failure"].clone()
}

/// Books until the refusal is the expected one.
async fn book_until(to: SocketAddr, reason: &str) -> bool {
    for _ in 0..TRIES {
        let failure = book(to).await;
        assert_that!(failure["not_run"], eq(&json!(true)));
        if failure["reason"] == reason {
            return true;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

#[tokio::test]
async fn a_key_whose_submission_did_not_run_can_be_used_again() {
    let platform = Platform::spawn().await.unwrap();
    let (one, other) = (
        start(&platform, "one").await,
        start(&platform, "other").await,
    );
    let applied = post(one.address, "/v1/config", SECRET, &first_config()).await;
    assert_that!(applied["version"], eq(&json!(1)));
    for to in [one.address, other.address, one.address] {
        assert!(book_until(to, "no_target").await);
    }
}

#[tokio::test]
async fn an_entry_without_a_configuration_is_not_ready_for_operators_either() {
    let platform = Platform::spawn().await.unwrap();
    let entry = start(&platform, "one").await;
    let refused = post(entry.address, "/v1/config", "op", &first_config()).await;
    assert_that!(refused["failure"]["reason"], eq(&json!("not_ready")));
    assert_that!(refused["failure"]["retry_after_ms"], eq(&json!(1000)));
}
