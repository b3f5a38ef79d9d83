//! HTTP interface of entries in a pool without any target.

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

const SESSION_SECRET: &str = "secret-of-the-tests";
const GROUP_TOKEN: &str = "group-token";
const MAX_ATTEMPTS: usize = 400;
const RETRY_DELAY: Duration = Duration::from_millis(20);

async fn start_entry(platform: &Platform, name: &str) -> Entry {
    let addresses = platform.addresses();
    let settings: EntrySettings = serde_json::from_value(json!({
        "entry": name,
        "domain": "lagos",
        "listen_address": "127.0.0.1:0",
        "session_address": "127.0.0.1:0",
        "session_secret": SESSION_SECRET,
        "store": {
            "table_address": addresses.table_address,
            "object_address": addresses.object_address,
            "poll_ms": 50,
        },
    }))
    .unwrap();
    let entry: EntryId = name.parse().unwrap();
    let metrics = Metrics::new(None, &ProcessName::Entry(entry)).unwrap();
    Entry::start(settings, metrics).await.unwrap()
}

async fn post(address: SocketAddr, path: &str, token: &str, body: &Value) -> Value {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}{path}"))
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

/// Submits a request with a key. The pool has no target, so it is refused without running.
async fn submit_with_key(address: SocketAddr) -> Value {
    let body = json!({ "service": "booking", "body": {}, "request_key": "slot-7" });
    let answer = post(address, "/v1/requests", GROUP_TOKEN, &body).await;
    answer["failure"].clone()
}

/// Repeats the request until it is refused with the given reason; false if that never happens.
async fn submit_until_refused_with(address: SocketAddr, reason: &str) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        let failure = submit_with_key(address).await;
        assert_that!(failure["not_run"], eq(&json!(true)));
        if failure["reason"] == reason {
            return true;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}

#[tokio::test]
async fn a_key_whose_submission_did_not_run_can_be_used_again() {
    let platform = Platform::spawn().await.unwrap();
    let (one, other) = (
        start_entry(&platform, "one").await,
        start_entry(&platform, "other").await,
    );
    let applied = post(one.address, "/v1/config", SESSION_SECRET, &first_config()).await;
    assert_that!(applied["version"], eq(&json!(1)));
    for address in [one.address, other.address, one.address] {
        assert!(submit_until_refused_with(address, "no_target").await);
    }
}

#[tokio::test]
async fn an_entry_without_a_configuration_is_not_ready_for_operators_either() {
    let platform = Platform::spawn().await.unwrap();
    let entry = start_entry(&platform, "one").await;
    let refused = post(entry.address, "/v1/config", "op", &first_config()).await;
    assert_that!(refused["failure"]["reason"], eq(&json!("not_ready")));
    assert_that!(refused["failure"]["retry_after_ms"], eq(&json!(1000)));
}
