//! A cluster of one entry with agents and targets, and relays that count the traffic of the
//! sessions and of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dfs_conf::ConfigDiff;
use dfs_conf::TokenDigest;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_standin::Platform;
use dfs_standin::TargetOptions;
use dfs_standin::TargetStandin;
use dfs_store::ConfigChange;
use dfs_store::ConfigStore;
use dfs_store::HttpObjects;
use dfs_store::HttpTable;
use dfs_store::WriteBudget;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;

use super::daemon::Daemon;
use super::daemon::Usage;
use super::relay::Relay;
use crate::SlopesError;
use crate::error::ApplyChangeSnafu;
use crate::error::JsonSnafu;
use crate::error::ReadConfigSnafu;
use crate::error::RequestSnafu;
use crate::error::ResponseBodySnafu;
use crate::error::SetupSnafu;

pub(super) const SECRET: &str = "secret-of-all-processes";
pub(super) const SERVICE: &str = "desk";
const GROUP_TOKEN: &str = "token-of-group-0";
const OPERATOR_TOKEN: &str = "token-of-operator";
const LOOPBACK: &str = "127.0.0.1:0";
const DOMAIN: &str = "domain-0";
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLLS: u32 = 300;
const STORE_TIMEOUT_MS: Millis = Millis::new(10_000);
const STORE_WRITES_PER_S: u32 = 100;

/// Size and lease timing of a cluster.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClusterOptions {
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Renewal interval of sessions with running tasks.
    pub busy_renew_ms: u64,
    /// Whether a target announces itself at each agent.
    pub has_targets: bool,
}

/// One entry with its agents, each a child process. The platform and the targets run in this
/// process.
pub(super) struct Cluster {
    pub platform: Platform,
    pub entry: Daemon,
    pub caller_address: SocketAddr,
    pub session_relay: Relay,
    pub table_relay: Relay,
    pub object_relay: Relay,
    pub agents: Vec<Daemon>,
    client: Client<HttpConnector, Full<Bytes>>,
    _targets: Vec<TargetStandin>,
    _work_dir: TempDir,
}

impl Cluster {
    /// Starts the processes without a configuration; see [`Self::configure`].
    pub async fn start(options: ClusterOptions) -> Result<Self, SlopesError> {
        let work_dir = tempfile::tempdir().context(SetupSnafu)?;
        let platform = Platform::spawn().await.context(SetupSnafu)?;
        let addresses = platform.addresses();
        let table_relay = Relay::start_to(addresses.table_address).await?;
        let object_relay = Relay::start_to(addresses.object_address).await?;
        let mut settings = entry_settings(0, table_relay.address, object_relay.address);
        settings["lease"] = json!({ "busy_renew_ms": options.busy_renew_ms });
        let session_relay = Relay::start().await?;
        // Agents dial the address that the entry advertises; without this they would bypass the
        // relay.
        settings["advertised_address"] = json!(session_relay.address);
        let entry = Daemon::spawn("entry", "entry-0", &settings, work_dir.path())?;
        session_relay.set_upstream(entry.listener_address("agents").await?);
        let caller_address = entry.listener_address("callers").await?;
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for number in 0..options.agents {
            let settings = agent_settings(number, &[session_relay.address]);
            let name = format!("agent-{number}");
            let agent = Daemon::spawn("agent", &name, &settings, work_dir.path())?;
            if options.has_targets {
                let address = agent.listener_address("target").await?;
                let target_options =
                    TargetOptions::new(Some(address), offer(number, options.slots)?);
                targets.push(
                    TargetStandin::spawn(target_options)
                        .await
                        .context(SetupSnafu)?,
                );
            }
            agents.push(agent);
        }
        Ok(Self {
            platform,
            entry,
            caller_address,
            session_relay,
            table_relay,
            object_relay,
            agents,
            client: Client::builder(TokioExecutor::new()).build_http(),
            _targets: targets,
            _work_dir: work_dir,
        })
    }

    /// Applies the first configuration and waits until every agent has a session.
    pub async fn configure(&self, inventory: &Value) -> Result<(), SlopesError> {
        let first = json!({ "change": "first", "base": 0, "inventory": inventory });
        self.send(Method::POST, "/v1/config", SECRET, &first)
            .await?;
        self.wait_for_sessions().await
    }

    /// Commits a change of the rules directly to the store, so that the entry reads it by polling,
    /// as it reads changes accepted by another entry.
    pub async fn commit_rule_change(&self, base: u64) -> Result<(), SlopesError> {
        let addresses = self.platform.addresses();
        let table = Arc::new(HttpTable::new(addresses.table_address, STORE_TIMEOUT_MS));
        let objects = Arc::new(HttpObjects::new(addresses.object_address, STORE_TIMEOUT_MS));
        let budget = Arc::new(WriteBudget::per_second(STORE_WRITES_PER_S));
        let store = ConfigStore::new(table, objects, budget);
        let base = ConfigVersion::new(base);
        let before = store.read_version(base).await.context(ReadConfigSnafu)?;
        let mut config = before.clone();
        config.version = base.next();
        config.rules.deadlines.default_ms = Millis::new(60_000 + base.get());
        let change = ConfigChange {
            id: from_json(json!(format!("change-{base}")))?,
            base,
            diff: Some(ConfigDiff::between(&before, &config)),
            config,
        };
        store.apply(&change).await.context(ApplyChangeSnafu)?;
        Ok(())
    }

    /// Submits a request or job with the token of the first group.
    pub async fn submit(&self, path: &str, body: &Value) -> Result<Value, SlopesError> {
        self.send(Method::POST, path, GROUP_TOKEN, body).await
    }

    async fn wait_for_sessions(&self) -> Result<(), SlopesError> {
        let expected = self.agents.len();
        for _ in 0..MAX_POLLS {
            let status = self.send(Method::GET, "/v1/status", OPERATOR_TOKEN, &Value::Null);
            let status = status.await.unwrap_or_default();
            // Lists each agent that has attached, with or without a target.
            let attached_agents = status["targets"].as_array().map_or(0, Vec::len);
            if attached_agents >= expected {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(SlopesError::NotReady { expected })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        token: &str,
        body: &Value,
    ) -> Result<Value, SlopesError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.caller_address))
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("method, URI and header are valid");
        let response = self.client.request(request).await.context(RequestSnafu)?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .context(ResponseBodySnafu)?;
        let body = body.to_bytes();
        if !status.is_success() {
            return Err(SlopesError::ErrorStatus {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        serde_json::from_slice(&body).context(JsonSnafu)
    }

    /// Sum of the CPU time and memory of all agents.
    pub fn total_agent_usage(&self) -> Result<Usage, SlopesError> {
        let mut sum = Usage::default();
        for agent in &self.agents {
            let usage = agent.usage()?;
            sum.cpu_us += usage.cpu_us;
            sum.memory_bytes += usage.memory_bytes;
        }
        Ok(sum)
    }
}

pub(super) fn entry_settings(number: usize, table: SocketAddr, objects: SocketAddr) -> Value {
    json!({
        "entry": format!("entry-{number}"),
        "domain": DOMAIN,
        "listen_address": LOOPBACK,
        "session_address": LOOPBACK,
        "session_secret": SECRET,
        "store": { "table_address": table, "object_address": objects },
    })
}

pub(super) fn agent_settings(number: usize, entries: &[SocketAddr]) -> Value {
    json!({
        "agent": format!("agent-{number}"),
        "domain": DOMAIN,
        "listen_address": LOOPBACK,
        "entry_addresses": entries,
        "session_secret": SECRET,
        "max_sessions": 64,
    })
}

/// Decodes settings of an embedded process, or a value that has only a serialized form.
pub(super) fn from_json<T: DeserializeOwned>(value: Value) -> Result<T, SlopesError> {
    serde_json::from_value(value).context(JsonSnafu)
}

fn offer(number: usize, slots: u32) -> Result<Offer, SlopesError> {
    Ok(Offer {
        target: from_json(json!(format!("target-{number}")))?,
        services: from_json(json!([SERVICE]))?,
        slots: from_json(json!(slots))?,
        connections: 64,
        resources: Resources::default(),
        labels: Vec::new(),
    })
}

/// Builds an inventory whose groups list up to 300 targets each. The stride of 13 gives the groups
/// different but overlapping lists.
pub(super) fn inventory(groups: usize, targets: usize) -> Value {
    const MAX_TARGETS_PER_GROUP: usize = 300;
    let group = |n: usize| {
        let group_targets = (0..MAX_TARGETS_PER_GROUP.min(targets))
            .map(|i| format!("target-{}", (n + i * 13) % targets));
        json!({
            "group": format!("group-{n}"),
            "share": 1.0,
            "services": [SERVICE],
            "tokens_sha256": [TokenDigest::of(&format!("token-of-group-{n}"))],
            "targets": group_targets.collect::<Vec<_>>(),
        })
    };
    let target = |n: usize| {
        json!({
            "target": format!("target-{n}"), "domain": DOMAIN, "rack": format!("rack-{}", n / 3),
            "services": [SERVICE], "slots": 8, "connections": 64,
            "resources": { "cpu_millis": 16000, "memory_mib": 65_536, "accelerators": 1 },
        })
    };
    json!({
        "domains": [DOMAIN],
        "operators": [{ "operator": "ada", "token_sha256": TokenDigest::of(OPERATOR_TOKEN) }],
        "services": [{ "service": SERVICE }],
        "groups": (0..groups).map(group).collect::<Vec<_>>(),
        "targets": (0..targets).map(target).collect::<Vec<_>>(),
    })
}
