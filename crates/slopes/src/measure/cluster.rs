//! One entry, its agents and targets, and a relay on the links that are counted.

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
use crate::error::AnswerSnafu;
use crate::error::ApplySnafu;
use crate::error::JsonSnafu;
use crate::error::ReadSnafu;
use crate::error::RequestSnafu;
use crate::error::StartSnafu;

pub(super) const SECRET: &str = "secret-of-all-processes";
pub(super) const SERVICE: &str = "desk";
const GROUP_TOKEN: &str = "token-of-group-0";
const OPERATOR_TOKEN: &str = "token-of-operator";
const LOOPBACK: &str = "127.0.0.1:0";
const DOMAIN: &str = "domain-0";
const LOOK: Duration = Duration::from_millis(100);
const LOOKS: u32 = 300;
const STORE_TIMEOUT_MS: Millis = Millis::new(10_000);
const STORE_WRITES_PER_S: u32 = 100;

/// Sizes and times of a cluster.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shape {
    pub agents: usize,
    pub slots: u32,
    pub busy_renew_ms: u64,
    pub has_targets: bool,
}

/// One entry with its agents, all of them child processes.
pub(super) struct Cluster {
    pub platform: Platform,
    pub entry: Daemon,
    pub callers: SocketAddr,
    pub sessions: Relay,
    pub table: Relay,
    pub objects: Relay,
    pub agents: Vec<Daemon>,
    client: Client<HttpConnector, Full<Bytes>>,
    _targets: Vec<TargetStandin>,
    _files: TempDir,
}

impl Cluster {
    /// Starts the processes; nothing is configured yet.
    pub async fn start(shape: Shape) -> Result<Self, SlopesError> {
        let files = tempfile::tempdir().context(StartSnafu)?;
        let platform = Platform::spawn().await.context(StartSnafu)?;
        let at = platform.addresses();
        let table = Relay::to(at.table_address).await?;
        let objects = Relay::to(at.object_address).await?;
        let mut settings = entry_settings(0, table.address, objects.address);
        settings["lease"] = json!({ "busy_renew_ms": shape.busy_renew_ms });
        let sessions = Relay::start().await?;
        // Otherwise agents learn the address behind the relay and dial that.
        settings["advertised_address"] = json!(sessions.address);
        let entry = Daemon::spawn("entry", "entry-0", &settings, files.path())?;
        sessions.connect(entry.listening("agents").await?);
        let callers = entry.listening("callers").await?;
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for number in 0..shape.agents {
            let settings = agent_settings(number, &[sessions.address]);
            let name = format!("agent-{number}");
            let agent = Daemon::spawn("agent", &name, &settings, files.path())?;
            if shape.has_targets {
                let address = agent.listening("target").await?;
                let options = TargetOptions::new(Some(address), offer(number, shape.slots)?);
                targets.push(TargetStandin::spawn(options).await.context(StartSnafu)?);
            }
            agents.push(agent);
        }
        Ok(Self {
            platform,
            entry,
            callers,
            sessions,
            table,
            objects,
            agents,
            client: Client::builder(TokioExecutor::new()).build_http(),
            _targets: targets,
            _files: files,
        })
    }

    /// Applies the first configuration and waits until every agent has a session.
    pub async fn configure(&self, inventory: &Value) -> Result<(), SlopesError> {
        let first = json!({ "change": "first", "base": 0, "inventory": inventory });
        self.send(Method::POST, "/v1/config", SECRET, &first)
            .await?;
        self.wait_for_sessions().await
    }

    /// Commits rules as a new version at the platform, as another entry would.
    pub async fn change_rules(&self, base: u64) -> Result<(), SlopesError> {
        let at = self.platform.addresses();
        let table = Arc::new(HttpTable::new(at.table_address, STORE_TIMEOUT_MS));
        let objects = Arc::new(HttpObjects::new(at.object_address, STORE_TIMEOUT_MS));
        let budget = Arc::new(WriteBudget::per_second(STORE_WRITES_PER_S));
        let store = ConfigStore::new(table, objects, budget);
        let base = ConfigVersion::new(base);
        let before = store.read_version(base).await.context(ReadSnafu)?;
        let mut config = before.clone();
        config.version = base.next();
        config.rules.deadlines.default_ms = Millis::new(60_000 + base.get());
        let change = ConfigChange {
            id: parse(json!(format!("change-{base}")))?,
            base,
            diff: Some(ConfigDiff::between(&before, &config)),
            config,
        };
        store.apply(&change).await.context(ApplySnafu)?;
        Ok(())
    }

    /// Submits as the first group.
    pub async fn submit(&self, path: &str, body: &Value) -> Result<Value, SlopesError> {
        self.send(Method::POST, path, GROUP_TOKEN, body).await
    }

    async fn wait_for_sessions(&self) -> Result<(), SlopesError> {
        let expected = self.agents.len();
        for _ in 0..LOOKS {
            let status = self.send(Method::GET, "/v1/status", OPERATOR_TOKEN, &Value::Null);
            let status = status.await.unwrap_or_default();
            let known = status["targets"].as_array().map_or(0, Vec::len);
            if known >= expected {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
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
            .uri(format!("http://{}{path}", self.callers))
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts are valid");
        let response = self.client.request(request).await.context(RequestSnafu)?;
        let status = response.status();
        let body = response.into_body().collect().await.context(AnswerSnafu)?;
        let body = body.to_bytes();
        if !status.is_success() {
            return Err(SlopesError::Refused {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        serde_json::from_slice(&body).context(JsonSnafu)
    }

    /// What all agents have used together.
    pub fn agents_usage(&self) -> Result<Usage, SlopesError> {
        let mut sum = Usage::default();
        for agent in &self.agents {
            let usage = agent.usage()?;
            sum.processor_us += usage.processor_us;
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

/// Settings of an embedded process.
pub(super) fn parse<T: DeserializeOwned>(settings: Value) -> Result<T, SlopesError> {
    serde_json::from_value(settings).context(JsonSnafu)
}

fn offer(number: usize, slots: u32) -> Result<Offer, SlopesError> {
    Ok(Offer {
        target: parse(json!(format!("target-{number}")))?,
        services: parse(json!([SERVICE]))?,
        slots: parse(json!(slots))?,
        connections: 64,
        resources: Resources::default(),
        labels: Vec::new(),
    })
}

/// An inventory whose groups list up to 300 targets each.
pub(super) fn inventory(groups: usize, targets: usize) -> Value {
    const LISTED: usize = 300;
    let group = |n: usize| {
        let listed = (0..LISTED.min(targets)).map(|i| format!("target-{}", (n + i * 13) % targets));
        json!({
            "group": format!("group-{n}"),
            "share": 1.0,
            "services": [SERVICE],
            "tokens_sha256": [TokenDigest::of(&format!("token-of-group-{n}"))],
            "targets": listed.collect::<Vec<_>>(),
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
