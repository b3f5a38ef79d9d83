//! Requests that reach an entry before its first configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use dfs_conf::Config;
use dfs_conf::EntrySettings;
use dfs_conf::EvacuationUpdate;
use dfs_conf::Evacuations;
use dfs_conf::Inventory;
use dfs_conf::Rules;
use dfs_entry::ConfigChanges;
use dfs_entry::ConfigFeed;
use dfs_entry::Entry;
use dfs_entry::EntryAdapter;
use dfs_entry::Ingress;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::Millis;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use dfs_store::HttpTable;
use dfs_store::Presence;
use dfs_store::ResultFuture;
use dfs_store::Revision;
use dfs_store::StoreError;
use googletest::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio::sync::Notify;

/// Longer than the test takes on any machine.
const LONG_STARTUP_MS: u64 = 60_000;

/// What the source of the configuration does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FeedBehaviour {
    /// Delivers a configuration once a request has arrived.
    DeliversOnRequest,
    /// Answers nothing.
    Silent,
    /// Fails at once.
    Fails,
}

struct TestFeed {
    behaviour: FeedBehaviour,
    request_arrived: Arc<Notify>,
}

impl ConfigFeed for TestFeed {
    fn read(
        &self,
        _after: Option<Revision>,
        _wait_ms: Millis,
    ) -> ResultFuture<'static, ConfigChanges, StoreError> {
        let (behaviour, request_arrived) = (self.behaviour, Arc::clone(&self.request_arrived));
        Box::pin(async move {
            match behaviour {
                FeedBehaviour::DeliversOnRequest => request_arrived.notified().await,
                FeedBehaviour::Silent => std::future::pending().await,
                FeedBehaviour::Fails => {
                    return Err(StoreError::Malformed {
                        what: "configuration".to_owned(),
                        message: "no answer".to_owned(),
                    });
                }
            }
            let config = Config {
                version: ConfigVersion::new(1),
                inventory: Inventory {
                    domains: Vec::new(),
                    operators: Vec::new(),
                    services: Vec::new(),
                    groups: Vec::new(),
                    queues: Vec::new(),
                    targets: Vec::new(),
                },
                rules: Rules::default(),
            };
            Ok(ConfigChanges {
                config: Some(config),
                versions: 1,
                evacuations: EvacuationUpdate::Full(Evacuations::default()),
                revision: Revision::new(1),
                read_bytes: 0,
            })
        })
    }
}

/// Starts an entry that answers each request with whether it is configured, after it has waited for that.
async fn start_entry(startup_ms: u64, behaviour: FeedBehaviour) -> (Entry, Platform) {
    let platform = Platform::spawn().await.unwrap();
    let addresses = platform.addresses();
    let settings: EntrySettings = serde_json::from_value(json!({
        "entry": "entry-1",
        "domain": "lagos",
        "listen_address": "127.0.0.1:0",
        "session_address": "127.0.0.1:0",
        "session_secret": "secret-of-the-tests",
        "lease": { "startup_ms": startup_ms },
        "store": {
            "table_address": addresses.table_address,
            "object_address": addresses.object_address,
        },
    }))
    .unwrap();
    let entry: EntryId = "entry-1".parse().unwrap();
    let metrics = Metrics::new(None, &ProcessName::Entry(entry)).unwrap();
    let table = HttpTable::new(addresses.table_address, Millis::new(1_000));
    let request_arrived = Arc::new(Notify::new());
    let feed = TestFeed {
        behaviour,
        request_arrived: Arc::clone(&request_arrived),
    };
    let router = move |ingress: Ingress| {
        Router::new().fallback(move || async move {
            request_arrived.notify_one();
            ingress.wait_for_first_config().await;
            ingress.config().is_some().to_string()
        })
    };
    let adapter = EntryAdapter {
        presence: Presence::from_settings(Arc::new(table), &settings.store),
        router: Box::new(router),
        feed: Box::new(feed),
        config_bound_ms: Millis::new(2_000),
    };
    let entry = Entry::start_with_adapter(settings, metrics, adapter).await;
    (entry.unwrap(), platform)
}

async fn get(address: SocketAddr) -> String {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let response = client.get(format!("http://{address}/").parse().unwrap());
    let body = response.await.unwrap().into_body().collect().await;
    String::from_utf8(body.unwrap().to_bytes().to_vec()).unwrap()
}

#[tokio::test]
async fn a_request_waits_for_the_first_configuration_of_a_starting_entry() {
    let (entry, _platform) = start_entry(LONG_STARTUP_MS, FeedBehaviour::DeliversOnRequest).await;
    assert_that!(get(entry.address).await, eq("true"));
}

#[tokio::test]
async fn a_request_does_not_wait_for_a_configuration_once_the_start_is_over() {
    let (entry, _platform) = start_entry(1, FeedBehaviour::Silent).await;
    assert_that!(get(entry.address).await, eq("false"));
}

#[tokio::test]
async fn a_request_does_not_wait_for_a_configuration_whose_source_has_failed() {
    let (entry, _platform) = start_entry(LONG_STARTUP_MS, FeedBehaviour::Fails).await;
    assert_that!(get(entry.address).await, eq("false"));
}
