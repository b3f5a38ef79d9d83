//! Entries, agents, targets and the platform, with a relay on every link.

use std::net::SocketAddr;

use dfs_conf::TokenDigest;
use dfs_ids::Millis;
use dfs_standin::Platform;
use dfs_standin::StartLog;
use dfs_standin::TargetOptions;
use dfs_standin::TargetStandin;
use dfs_wire::target::Offer;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use super::Call;
use super::Daemon;
use super::Relay;
use super::Reply;
use super::Role;
use super::until;

pub const GROUP_TOKEN: &str = "token-of-printers";
pub const OPERATOR_TOKEN: &str = "token-of-operator";
pub const SERVICE: &str = "price";
const DOMAINS: [&str; 2] = ["east", "west"];
const LOOPBACK: &str = "127.0.0.1:0";

/// Clusters at once, which bounds the number of processes.
static CLUSTERS: Semaphore = Semaphore::const_new(4);

/// Size and times of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    /// Lease of sessions.
    pub lease_ms: u64,
    pub target_lease_ms: u64,
    pub unready_ms: u64,
    pub drain_ms: u64,
    pub run_timeout_ms: u64,
    pub max_connections: u32,
    /// Whether agents know only the balancer's address, which leads to the first entry.
    pub balanced: bool,
}

impl Shape {
    pub const DEFAULT: Self = Self {
        entries: 2,
        agents: 3,
        slots: 4,
        lease_ms: 1_000,
        target_lease_ms: 1_000,
        unready_ms: 500,
        drain_ms: 20_000,
        run_timeout_ms: 4_000,
        max_connections: 1_000,
        balanced: false,
    };
}

impl Default for Shape {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// One entry and the links to and from it.
pub struct EntryNode {
    pub daemon: Daemon,
    pub callers: Relay,
    pub sessions: Relay,
    pub table: Relay,
    pub objects: Relay,
    settings: Value,
}

/// One agent with its target.
pub struct AgentNode {
    pub daemon: Daemon,
    /// From the target to the agent.
    pub announcements: Relay,
    /// From the agent to the target.
    pub tasks: Relay,
    pub target: Option<TargetStandin>,
    settings: Value,
}

/// A whole system on loopback.
pub struct Cluster {
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub platform: Platform,
    /// Start logs of all targets that ever lived.
    pub logs: Vec<StartLog>,
    pub shape: Shape,
    pub files: TempDir,
    /// Of this cluster alone: processes of a test run that was killed may still dial a port that is reused.
    pub secret: String,
    lives: usize,
    /// The balancer as each agent reaches it.
    balancer: Vec<Relay>,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts everything and applies the first configuration.
    pub async fn start(shape: Shape) -> Self {
        let files = tempfile::tempdir().unwrap();
        let mut cluster = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            platform: Platform::spawn().await.unwrap(),
            logs: Vec::new(),
            shape,
            secret: format!("secret-of-{}", files.path().display()),
            files,
            lives: 0,
            balancer: Vec::new(),
            _permit: CLUSTERS.acquire().await.unwrap(),
        };
        for number in 0..shape.entries {
            cluster.add_entry(number).await;
        }
        for number in 0..shape.agents {
            cluster.add_agent(number).await;
        }
        let first = json!({
            "change": "first",
            "base": 0,
            "inventory": inventory(),
            "rules": rules(),
        });
        let call = Call::post("/v1/config", &cluster.secret, &first);
        let reply = call.send(cluster.entry_address(0)).await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
        cluster.recovered().await;
        cluster
    }

    /// Starts an entry that the settings of no agent name, unless agents are added later.
    pub async fn add_entry(&mut self, number: usize) {
        let at = self.platform.addresses();
        let callers = Relay::to(None).await;
        let sessions = Relay::to(None).await;
        let table = Relay::to(Some(at.table_address)).await;
        let objects = Relay::to(Some(at.object_address)).await;
        let settings = json!({
            "entry": format!("entry-{number}"),
            "domain": domain(number),
            "listen_address": LOOPBACK,
            "session_address": LOOPBACK,
            "advertised_address": sessions.address,
            "session_secret": self.secret,
            "store": {
                "table_address": table.address,
                "object_address": objects.address,
                "timeout_ms": 500,
                "poll_ms": 200,
                "max_writes_per_s": 100,
            },
            "lease": {
                "lease_ms": self.shape.lease_ms,
                "busy_renew_ms": 200,
                "idle_renew_ms": 200,
                "fresh_ms": 500,
            },
            "limits": {
                "body_timeout_ms": 1_000,
                "max_body_bytes": 64 << 10,
                "max_connections": self.shape.max_connections,
                "unready_ms": self.shape.unready_ms,
                "drain_ms": self.shape.drain_ms,
            },
        });
        let daemon = self.spawn(Role::Entry, number, &settings, "");
        let node = EntryNode {
            daemon,
            callers,
            sessions,
            table,
            objects,
            settings,
        };
        node.connect().await;
        self.entries.push(node);
    }

    /// Starts an agent and its target.
    async fn add_agent(&mut self, number: usize) {
        let announcements = Relay::to(None).await;
        let tasks = Relay::to(None).await;
        let mut entries: Vec<_> = self.entries.iter().map(|e| e.sessions.address).collect();
        if self.shape.balanced {
            let first = self.entries[0].sessions.address;
            let balancer = Relay::to(Some(first)).await;
            entries = vec![balancer.address];
            self.balancer.push(balancer);
        }
        let settings = json!({
            "agent": format!("agent-{number}"),
            "domain": domain(number),
            "listen_address": LOOPBACK,
            "entry_addresses": entries,
            "session_secret": self.secret,
            "redial_ms": 50,
            "redial_max_ms": 200,
            "target_connect_timeout_ms": 500,
            "target_run_timeout_ms": self.shape.run_timeout_ms,
            "drain_ms": self.shape.drain_ms,
        });
        let daemon = self.spawn(Role::Agent, number, &settings, "");
        let node = AgentNode {
            daemon,
            announcements,
            tasks,
            target: None,
            settings,
        };
        node.connect().await;
        self.agents.push(node);
        self.replace_target(number).await;
    }

    fn spawn(&mut self, role: Role, number: usize, settings: &Value, points: &str) -> Daemon {
        self.lives += 1;
        let life = format!("{}-{number}-life-{}", role.name(), self.lives);
        Daemon::spawn_with(role, &life, settings, self.files.path(), points)
    }

    /// Kills an entry, if it still runs, and starts a new one in its place.
    pub async fn replace_entry(&mut self, number: usize) {
        self.replace_entry_with(number, "").await;
    }

    /// The same with fail points in the new one.
    pub async fn replace_entry_with(&mut self, number: usize, points: &str) {
        self.entries[number].daemon.kill();
        let settings = self.entries[number].settings.clone();
        self.entries[number].daemon = self.spawn(Role::Entry, number, &settings, points);
        self.entries[number].connect().await;
    }

    /// Kills an agent, if it still runs, and starts a new one in its place.
    pub async fn replace_agent(&mut self, number: usize) {
        self.replace_agent_with(number, "").await;
    }

    /// The same with fail points in the new one.
    pub async fn replace_agent_with(&mut self, number: usize, points: &str) {
        self.agents[number].daemon.kill();
        let settings = self.agents[number].settings.clone();
        self.agents[number].daemon = self.spawn(Role::Agent, number, &settings, points);
        self.agents[number].connect().await;
    }

    /// An agent like agent 0, but with another name and secret.
    pub fn stranger(&self, secret: &str) -> Daemon {
        let mut settings = self.agents[0].settings.clone();
        settings["agent"] = json!("stranger");
        settings["session_secret"] = json!(secret);
        Daemon::spawn(Role::Agent, "stranger", &settings, self.files.path())
    }

    /// Ends a target at once, if there is one.
    pub fn kill_target(&mut self, number: usize) {
        self.agents[number].target = None;
    }

    /// Ends a target at once and starts a new one at another address.
    pub async fn replace_target(&mut self, number: usize) {
        self.kill_target(number);
        let lease_ms = Millis::new(self.shape.target_lease_ms);
        let node = &mut self.agents[number];
        let offer = Offer {
            target: format!("target-{number}").parse().unwrap(),
            services: vec![SERVICE.parse().unwrap()],
            slots: self.shape.slots.to_string().parse().unwrap(),
            connections: 64,
            resources: dfs_wire::target::Resources::default(),
            labels: Vec::new(),
        };
        let options = TargetOptions {
            lease_ms,
            advertised: Some(node.tasks.address),
            ..TargetOptions::new(Some(node.announcements.address), offer)
        };
        let target = TargetStandin::spawn(options).await.unwrap();
        node.tasks.set_upstream(target.address());
        self.logs.push(target.starts().clone());
        node.target = Some(target);
    }

    pub fn target(&self, number: usize) -> &TargetStandin {
        self.agents[number].target.as_ref().unwrap()
    }

    /// Address of the entry itself, without the relay.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.entries[number].callers.upstream().unwrap()
    }

    pub async fn status(&self, number: usize) -> Option<Value> {
        let call = Call::get("/v1/status", OPERATOR_TOKEN);
        let reply = call.send(self.entry_address(number)).await.ok()?;
        (reply.status == 200).then_some(reply.body)
    }

    /// Version in force at an entry.
    pub async fn version(&self, number: usize) -> Option<u64> {
        self.status(number).await?["version"].as_u64()
    }

    /// Applies rules through an entry.
    pub async fn apply(
        &self,
        number: usize,
        change: &str,
        base: u64,
        rules: &Value,
    ) -> Result<Reply, super::CallError> {
        let body = json!({ "change": change, "base": base, "rules": rules });
        let call = Call::post("/v1/config", OPERATOR_TOKEN, &body);
        call.send(self.entry_address(number)).await
    }

    /// Starts on all targets that ever lived.
    pub fn started(&self) -> usize {
        self.logs.iter().map(StartLog::count).sum()
    }

    /// Waits until every entry answers and sees every target live.
    pub async fn recovered(&self) {
        for number in 0..self.entries.len() {
            let what = format!("entry {number} sees every target");
            until(&what, async || self.sees_all_targets(number).await).await;
            let what = format!("entry {number} answers");
            until(&what, async || self.answers(number).await).await;
        }
    }

    async fn sees_all_targets(&self, number: usize) -> bool {
        let Some(status) = self.status(number).await else {
            return false;
        };
        let targets = status["targets"].as_array().unwrap();
        let live = targets.iter().filter(|t| !t["target"].is_null()).count();
        live == self.agents.len()
    }

    async fn answers(&self, number: usize) -> bool {
        let body = json!({ "service": SERVICE, "body": { "echo": 1 }, "deadline_ms": 5_000 });
        let call = Call::post("/v1/requests", GROUP_TOKEN, &body);
        let reply = call.send(self.entry_address(number)).await;
        reply.is_ok_and(|reply| reply.status == 200)
    }
}

impl EntryNode {
    async fn connect(&self) {
        let sessions = self.daemon.listening("agents").await;
        self.sessions.set_upstream(sessions);
        let callers = self.daemon.listening("callers").await;
        self.callers.set_upstream(callers);
    }
}

impl AgentNode {
    async fn connect(&self) {
        let target = self.daemon.listening("target").await;
        self.announcements.set_upstream(target);
    }
}

fn domain(number: usize) -> &'static str {
    DOMAINS[number % DOMAINS.len()]
}

/// One group, one service, two failure domains.
/// Rules under which no submission is refused for the wait that an entry expects, so that every
/// refusal is a loss.
fn rules() -> Value {
    json!({ "admission": { "deadline_part": 1.0 } })
}

fn inventory() -> Value {
    json!({
        "domains": DOMAINS,
        "operators": [{ "operator": "ada", "token_sha256": TokenDigest::of(OPERATOR_TOKEN) }],
        "services": [{ "service": SERVICE }],
        "groups": [{
            "group": "printers",
            "share": 1.0,
            "tokens_sha256": [TokenDigest::of(GROUP_TOKEN)],
            "services": [SERVICE],
        }],
    })
}
