//! A pool in one process: entries in two failure domains, agents, targets and the platform
//! stand-ins.

use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use dfs_agent::Agent;
use dfs_conf::AgentSettings;
use dfs_conf::EntrySettings;
use dfs_conf::Inventory;
use dfs_conf::LogLevel;
use dfs_conf::LogSettings;
use dfs_entry::Entry;
use dfs_ids::Millis;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use dfs_standin::TargetOptions;
use dfs_standin::TargetStandin;
use dfs_wire::api::EntryStatus;
use dfs_wire::target::Offer;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;

use super::DemoError;
use super::error::AgentSnafu;
use super::error::EntrySnafu;
use super::error::ExampleSnafu;
use super::error::LogSnafu;
use super::error::StandinSnafu;
use crate::client::Call;
use crate::client::Client;
use crate::options::Token;
use crate::submit::random_id;

const INVENTORY: &str = include_str!("../../../../examples/member-desk/inventory.json");
const RULES: &str = include_str!("../../../../examples/member-desk/rules.json");
const OPERATOR_TOKEN: &str = "demo-member-desk-operator";
const SESSION_SECRET: &str = "demo-session-secret";
const ENTRY_DOMAINS: [&str; 2] = ["Lagos", "Ibadan"];
const CALL_TIMEOUT_MS: Millis = Millis::new(5_000);
const READY_TIMEOUT_S: u64 = 30;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running pool. The platform stand-ins stop when it is dropped.
pub struct Pool {
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    targets: Vec<TargetStandin>,
    _platform: Platform,
}

impl Pool {
    /// Starts all parts of the pool on free ports of the loopback interface.
    pub async fn start() -> Result<Self, DemoError> {
        let inventory: Inventory = serde_json::from_str(INVENTORY).context(ExampleSnafu)?;
        let platform = Platform::spawn().await.context(StandinSnafu)?;
        let mut entries = Vec::new();
        for domain in ENTRY_DOMAINS {
            let settings = entry_settings(domain, &platform)?;
            let metrics = init_log(&ProcessName::Entry(settings.entry.clone()))?;
            entries.push(Entry::start(settings, metrics).await.context(EntrySnafu)?);
        }
        let addresses: Vec<_> = entries.iter().map(|entry| entry.session_address).collect();
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for target in &inventory.targets {
            let settings = agent_settings(target, &addresses)?;
            let metrics = init_log(&ProcessName::Agent(settings.agent.clone()))?;
            let agent = Agent::start(settings, metrics).await.context(AgentSnafu)?;
            let options = TargetOptions::new(Some(agent.address), offer(target));
            targets.push(TargetStandin::spawn(options).await.context(StandinSnafu)?);
            agents.push(agent);
        }
        Ok(Self {
            entries,
            agents,
            targets,
            _platform: platform,
        })
    }

    /// Address of the `n`-th entry, modulo the number of entries.
    pub fn entry_address(&self, n: usize) -> SocketAddr {
        self.entries[n % self.entries.len()].address
    }

    /// Applies the example inventory and rules. The session secret is accepted as a token for this
    /// first change only.
    pub async fn apply_configuration(&self) -> Result<(), DemoError> {
        let body = json!({
            "change": random_id::<dfs_ids::ChangeId>("demo"),
            "base": 0,
            "inventory": parse::<Value>(INVENTORY)?,
            "rules": parse::<Value>(RULES)?,
        });
        let call = Call::post("/v1/config", &body).context(ExampleSnafu)?;
        let client = Client::new(Token::new(SESSION_SECRET)?, CALL_TIMEOUT_MS);
        client
            .send(self.entry_address(0), &call)
            .await?
            .accept::<Value>()?;
        Ok(())
    }

    /// Waits until every entry has the configuration and a session with every target.
    pub async fn wait_until_ready(&self) -> Result<(), DemoError> {
        let poll_until_ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let limit = Duration::from_secs(READY_TIMEOUT_S);
        let outcome = tokio::time::timeout(limit, poll_until_ready).await;
        outcome.map_err(|_| DemoError::NotReady {
            seconds: READY_TIMEOUT_S,
        })
    }

    async fn is_ready(&self) -> bool {
        let Ok(statuses) = self.fetch_statuses().await else {
            return false;
        };
        let connected_targets =
            |status: &EntryStatus| status.targets.iter().filter(|t| t.target.is_some()).count();
        statuses
            .iter()
            .all(|status| status.ready && connected_targets(status) == self.targets.len())
    }

    async fn fetch_statuses(&self) -> Result<Vec<EntryStatus>, DemoError> {
        let client = Client::new(Token::new(OPERATOR_TOKEN)?, CALL_TIMEOUT_MS);
        let mut statuses = Vec::new();
        for entry in &self.entries {
            let reply = client.send(entry.address, &Call::get("/v1/status")).await?;
            statuses.push(reply.accept()?);
        }
        Ok(statuses)
    }

    /// Messages between processes per settled task, including renewals.
    #[expect(clippy::cast_precision_loss, reason = "a demo has few messages")]
    pub async fn messages_per_task(&self) -> Result<f64, DemoError> {
        let statuses = self.fetch_statuses().await?;
        let messages: u64 = statuses.iter().map(|status| status.session_messages).sum();
        let tasks: u64 = statuses.iter().map(|status| status.tasks_settled).sum();
        Ok(messages as f64 / tasks.max(1) as f64)
    }

    /// Stops all entries, then all agents.
    pub async fn stop(self) {
        let entries = self.entries.into_iter().map(|entry| entry.stop(pending()));
        futures::future::join_all(entries).await;
        let agents = self.agents.into_iter().map(|agent| agent.stop(pending()));
        futures::future::join_all(agents).await;
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (entries, targets) = (self.entries.len(), self.targets.len());
        let domains = ENTRY_DOMAINS.join(" and ");
        write!(
            f,
            "{entries} entries in {domains}, {targets} agents with their targets, stand-in platform"
        )
    }
}

fn init_log(process: &ProcessName) -> Result<Metrics, DemoError> {
    let settings = LogSettings {
        level: LogLevel::Error,
        statsd_address: None,
        ..LogSettings::default()
    };
    dfs_log::init(&settings, process).context(LogSnafu)
}

fn entry_settings(domain: &str, platform: &Platform) -> Result<EntrySettings, DemoError> {
    let platform = platform.addresses();
    from_value(json!({
        "entry": format!("entry-{domain}"),
        "domain": domain,
        "listen_address": "127.0.0.1:0",
        "session_address": "127.0.0.1:0",
        "session_secret": SESSION_SECRET,
        "limits": { "unready_ms": 0 },
        "store": {
            "table_address": platform.table_address,
            "object_address": platform.object_address,
            "poll_ms": 200,
        },
    }))
}

fn agent_settings(
    target: &dfs_conf::Target,
    entries: &[SocketAddr],
) -> Result<AgentSettings, DemoError> {
    from_value(json!({
        "agent": format!("agent-{}", target.target),
        "domain": target.domain,
        "listen_address": "127.0.0.1:0",
        "entry_addresses": entries,
        "session_secret": SESSION_SECRET,
    }))
}

fn offer(target: &dfs_conf::Target) -> Offer {
    Offer {
        target: target.target.clone(),
        services: target.services.clone(),
        slots: target.slots,
        connections: target.connections,
        resources: target.resources,
        labels: Vec::new(),
    }
}

fn from_value<T: DeserializeOwned>(value: Value) -> Result<T, DemoError> {
    serde_json::from_value(value).context(ExampleSnafu)
}

fn parse<T: DeserializeOwned>(json: &str) -> Result<T, DemoError> {
    serde_json::from_str(json).context(ExampleSnafu)
}
