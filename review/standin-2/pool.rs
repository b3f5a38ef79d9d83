//! A small deployment: processes of the system as the deploy file starts them, workers and the store.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Outcome;
use crate::http::Request;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::HEARTBEAT_MS;
use crate::worker::Worker;

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Zones of the workers in turn; the entries are in the first.
pub const ZONES: [&str; 2] = ["be-west-a", "be-west-b"];

/// The least memory of a front in the sheets of `demands/`.
pub const ENTRY_MEMORY_MB: u64 = 160;
const AGENT_MEMORY_MB: u64 = 128;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn prctl(option: i32, signal: i32) -> i32;
}

/// A process of the system.
pub struct Node {
    pub name: String,
    ip: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Node {
    fn spawn(root: &Path, role: &str, settings: &Path, log: &Path) -> Child {
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        let program = root.join("target/release/dragonflyshedd");
        let mut command = Command::new(program);
        command
            .args(["platform", role])
            .current_dir(root)
            .env_clear()
            .env("DRAGONFLYSHED_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // SAFETY: the call only sets an attribute of the new process: it ends with this one, whatever ends this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        command
            .spawn()
            .expect("the program of the deploy file starts")
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Memory of the process without the pages of its program file; 0 if it has ended.
    pub fn anonymous_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn front(&self) -> SocketAddr {
        address(&self.ip, 8161)
    }

    fn ready(&self) -> SocketAddr {
        address(&self.ip, 8167)
    }

    fn control(&self) -> SocketAddr {
        address(&self.ip, 8166)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Pool {
    root: PathBuf,
    folder: PathBuf,
    pub record: Record,
    pub store: Store,
    /// The path of the entries to the store.
    pub entries_to_store: Proxy,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub workers: Vec<Worker>,
}

/// What the operator writes as `op/config`.
pub struct Desired {
    pub version: u32,
    pub timeout_ms: u32,
    pub slo_ms: u32,
}

impl Desired {
    fn encode(&self) -> String {
        let Self {
            version,
            timeout_ms,
            slo_ms,
        } = self;
        format!(
            r#"{{"version":{version},"routes":[{{"name":"r-wrr6x73","host":"{HOST}","prefix":"{PREFIX}","kind":"unsafe","timeoutMs":{timeout_ms},"sloMs":{slo_ms},"priority":0,"service":"{SERVICE}","attempts":4,"stretch":1.6}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"enforcesCapacity":true,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        )
    }
}

impl Pool {
    /// Starts the store and the workers, then the entries and agents, and waits until all entries are ready.
    pub fn start(
        root: &Path,
        folder: &Path,
        record: &Record,
        entries: usize,
        workers: usize,
        capacity_cpu: i128,
        desired: &Desired,
    ) -> Result<Self, String> {
        let base = free_network(entries + workers + 2)?;
        let ip = |index: usize| format!("{base}.{}", index + 1);
        let store = Store::start(address(&ip(0), 8169));
        let entries_to_store =
            Proxy::start(address(&ip(entries + workers + 1), 8169), store.address);
        store.put("op", "config", &desired.encode());
        let mut pool = Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            record: record.clone(),
            store,
            entries_to_store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
        };
        for index in 0..entries {
            let zone = ZONES[0];
            let name = format!("front-{zone}-{}", index + 1);
            let node = pool.start_node(&name, &ip(1 + index), zone, "entry");
            pool.entries.push(node);
        }
        for index in 0..workers {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("side-{zone}-{}", index + 1);
            let ip = ip(1 + entries + index);
            let worker = Worker::start(
                record,
                &format!("i-{}", index + 1),
                address(&ip, 8165),
                zone,
                SERVICE,
                capacity_cpu,
                &["a", "r1-1"],
            );
            let node = pool.start_node(&name, &ip, zone, "agent");
            pool.workers.push(worker);
            pool.agents.push(node);
        }
        for (worker, agent) in pool.workers.iter().zip(&pool.agents) {
            worker.beat(agent.control());
        }
        pool.wait_until_ready()?;
        Ok(pool)
    }

    fn start_node(&self, name: &str, ip: &str, zone: &str, role: &'static str) -> Node {
        let template = self.root.join(format!("deploy/{role}.json"));
        let template = std::fs::read_to_string(template).expect("the template can be read");
        let settings = self.folder.join(format!("{name}.json"));
        let text = render(&template, &self.values(name, ip, zone, role));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let child = Node::spawn(&self.root, role, &settings, &log);
        self.record.line(&format!("{name} is started"));
        Node {
            name: name.to_owned(),
            ip: ip.to_owned(),
            role,
            settings,
            log,
            child,
        }
    }

    /// Fields of the platform's settings, with figures that the sheets have in common.
    fn values(
        &self,
        node: &str,
        ip: &str,
        zone: &str,
        role: &str,
    ) -> BTreeMap<&'static str, String> {
        let text = |text: &str| text.to_owned();
        let (store, memory_mb) = match role {
            "entry" => (self.entries_to_store.address, ENTRY_MEMORY_MB),
            _ => (self.store.address, AGENT_MEMORY_MB),
        };
        BTreeMap::from([
            ("node", text(node)),
            ("zone", text(zone)),
            ("zones", ZONES.join("\",\"")),
            ("ip", text(ip)),
            ("portRange.0", text("7720")),
            ("listenAddrs.front", address(ip, 8161).to_string()),
            ("listenAddrs.ready", address(ip, 8167).to_string()),
            ("listenAddrs.control", address(ip, 8166).to_string()),
            ("app", address(ip, 8165).to_string()),
            ("service", text(SERVICE)),
            ("heartbeatMs", HEARTBEAT_MS.to_string()),
            ("platform.address", store.to_string()),
            ("limits.memoryMb", memory_mb.to_string()),
            ("bounds.configMs", text("2000")),
            ("bounds.farX", text("1.5")),
            ("bounds.retransmitMs", text("1300")),
            ("bounds.holdMaxMs", text("1000")),
            ("bounds.stopMs", text("50")),
        ])
    }

    /// Starts the process of an entry again, as the platform does after an end.
    pub fn restart_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.child = Node::spawn(&self.root, node.role, &node.settings, &node.log);
        self.record.line(&format!("{} is started again", node.name));
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            while !is_ready(entry.ready()) {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", entry.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // Agents announce a worker with its first heartbeat after they have taken it over.
        std::thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
        Ok(())
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let request = Request {
        method: "GET".to_owned(),
        path: "/ready".to_owned(),
        headers: vec![("Host".to_owned(), address.to_string())],
        ..Request::default()
    };
    matches!(
        http::call(address, &request, Duration::from_secs(1)),
        Outcome::Answer(response) if response.status == 200
    )
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("an address")
}

/// A loopback network in which the first addresses use none of the ports.
fn free_network(addresses: usize) -> Result<String, String> {
    let seed = std::process::id();
    for attempt in 0..50 {
        let number = seed.wrapping_add(attempt * 7_919) % 60_000;
        let base = format!("127.{}.{}", 10 + number / 250, 1 + number % 250);
        let is_free = (1..=addresses).all(|host| {
            [7720, 8161, 8165, 8166, 8167, 8169, 9464]
                .iter()
                .all(|port| TcpListener::bind((format!("{base}.{host}"), *port)).is_ok())
        });
        if is_free {
            return Ok(base);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Fills in a template of settings, as far as the templates of this project go.
fn render(template: &str, values: &BTreeMap<&'static str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let (name, after) = after.split_once("}}").expect("a closed placeholder");
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let (inner, after) = after.split_once(&end).expect("a closed section");
            if let Some(value) = values.get(section) {
                let inner = inner.replace("{{,}}", "").replace("{{@}}", value);
                out.push_str(&inner.replace("{{.}}", value));
            }
            rest = after;
            continue;
        }
        match name.strip_suffix("|json") {
            Some(name) => out.push_str(&format!("\"{}\"", values[name])),
            None => out.push_str(&values[name]),
        }
        rest = after;
    }
    out.push_str(rest);
    out
}
