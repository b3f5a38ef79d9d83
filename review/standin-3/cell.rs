//! A small deployment on loopback addresses: the store, workers, and the project's own programs as processes.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Client;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker;
use crate::worker::Worker;

const PROGRAM: &str = "target/release/dragonflyshedd";
const START_LIMIT: Duration = Duration::from_secs(15);
pub const SERVICE: &str = "desk";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/quote/";

/// A process that is ended with the value.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

pub struct Cell {
    pub entry: Process,
    pub front: SocketAddr,
    pub proxy: Proxy,
    pub record: Record,
    agents: Vec<Process>,
    pub workers: Vec<Worker>,
    ready: SocketAddr,
    _store: Store,
    folder: PathBuf,
}

pub struct Size {
    pub workers: usize,
    pub worker_cpu: u64,
    pub entry_memory_mb: u64,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

impl Cell {
    /// Starts everything and waits until the entry is ready and knows all workers.
    pub fn start(record: Record, size: &Size) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("dragonflyshed-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (store, store_address) = Store::start(free_address()).map_err(|e| e.to_string())?;
        store.put_operator("config", &desired_state());
        let (front, ready, sessions, advertised) = (free_address(), free_address(), free_address(), free_address());
        let proxy = Proxy::start(advertised, sessions).map_err(|e| e.to_string())?;
        let settings = entry_settings(front, ready, sessions, advertised, store_address, size.entry_memory_mb);
        let entry = start_process(&folder, "entry", &settings)?;
        let mut cell = Self {
            entry,
            front,
            proxy,
            record: record.clone(),
            agents: Vec::new(),
            workers: Vec::new(),
            ready,
            _store: store,
            folder,
        };
        for number in 0..size.workers {
            let (app, control) = (free_address(), free_address());
            let settings = agent_settings(number, app, control, store_address);
            cell.agents.push(start_process(&cell.folder, &format!("agent-{number}"), &settings)?);
            let options = worker::Options {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: "lagos".to_owned(),
                address: app,
                control,
                cpu: size.worker_cpu,
            };
            let worker = Worker::start(options, record.clone());
            cell.workers.push(worker.map_err(|e| e.to_string())?);
        }
        cell.wait_ready()?;
        Ok(cell)
    }

    /// Kills all processes of the system, and starts them again after a time.
    pub fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        for process in self.agents.iter_mut().chain([&mut self.entry]) {
            let _ = (process.0.kill(), process.0.wait());
        }
        thread::sleep(down);
        self.entry = self.start_again("entry")?;
        for number in 0..self.agents.len() {
            self.agents[number] = self.start_again(&format!("agent-{number}"))?;
        }
        Ok(())
    }

    fn start_again(&self, name: &str) -> Result<Process, String> {
        let settings = fs::read_to_string(self.folder.join(format!("{name}.json")));
        start_process(&self.folder, name, &settings.map_err(|e| e.to_string())?)
    }

    fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        let mut probe = Client::new(self.ready);
        while Instant::now() < until {
            let answer = probe.call("GET", "/ready", &[], "", Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                // Every worker's first liveness report is taken note of, and every agent has its session.
                thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the entry was not ready in time".to_owned())
    }

    /// Resident memory of the entry, now and at its peak, in MB; `None` once it has ended.
    pub fn entry_memory_mb(&mut self) -> Option<(u64, u64)> {
        if self.entry.0.try_wait().ok()?.is_some() {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", self.entry.0.id())).ok()?;
        let value = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some((value("VmRSS:")? / 1024, value("VmHWM:")? / 1024))
    }

    /// Descriptors that the entry has open.
    pub fn entry_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.entry.0.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.record.flush();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn start_process(folder: &std::path::Path, name: &str, settings: &str) -> Result<Process, String> {
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, settings).map_err(|e| e.to_string())?;
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
    let role = if name == "entry" { "entry" } else { "agent" };
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    let child = Command::new(PROGRAM)
        .args(["platform", role])
        .env_clear()
        .env("DRAGONFLYSHED_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    child.map(Process).map_err(|e| format!("{PROGRAM}: {e}"))
}

fn desired_state() -> String {
    format!(
        "{{\"version\":4,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\
         \"sloMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// `deploy/entry.json`, filled in. Agents are told the address of a proxy for their sessions.
fn entry_settings(front: SocketAddr, ready: SocketAddr, sessions: SocketAddr, advertised: SocketAddr, store: SocketAddr, memory_mb: u64) -> String {
    format!(
        r#"{{
  "entry": {{
    "entry": "front-lagos-1", "domain": "lagos", "listen_address": "{front}", "session_address": "{sessions}",
    "advertised_address": "{advertised}", "session_secret": "dragonflyshed-sessions",
    "store": {{ "table_address": "{store}", "object_address": "{store}", "timeout_ms": 1000 }},
    "lease": {{ "lease_ms": 700, "busy_renew_ms": 200, "idle_renew_ms": 1000, "fresh_ms": 600, "settle_ms": 1200 }},
    "limits": {{ "memory_mb": {memory_mb}, "max_body_bytes": 262144, "body_timeout_ms": 3000, "max_connections": 3000,
      "drain_ms": 5500, "unready_ms": 2500 }}
  }},
  "host": {{ "ready_address": "{ready}", "domains": ["lagos"], "group": "members", "config_bound_ms": 2000, "answer_margin_ms": 50 }},
  "rules": {{
    "admission": {{ "deadline_part": 0.9, "max_objectives": 1.0 }},
    "placement": {{ "order": "first_come", "hints": "on_change", "hint_cadence_ms": 15, "far_factor": 1.5, "max_load": 1.0 }},
    "retry": {{ "budget_ratio": 1.0, "budget_burst": 10000, "max_attempts": 20 }},
    "ejection": {{ "failures_in_a_row": 3, "first_ms": 1000, "max_ms": 4000, "max_part": 0.33 }}
  }}
}}"#
    )
}

/// `deploy/agent.json`, filled in.
fn agent_settings(number: usize, app: SocketAddr, control: SocketAddr, store: SocketAddr) -> String {
    format!(
        r#"{{
  "agent": {{
    "agent": "side-lagos-{number}", "domain": "lagos", "listen_address": "{control}", "entry_addresses": [],
    "session_secret": "dragonflyshed-sessions",
    "store": {{ "table_address": "{store}", "object_address": "{store}", "timeout_ms": 1000 }},
    "keep_results_ms": 10000, "drain_ms": 5500, "limits": {{ "memory_mb": 128, "max_connections": 64 }}
  }},
  "host": {{
    "worker_address": "{app}", "domains": ["lagos"], "service": "{SERVICE}", "heartbeat_ms": 1500, "run_lease_ms": 800,
    "look_ms": 60, "resubmit_ms": 1300, "max_lease_ms": 1000, "stop_ms": 50
  }}
}}"#
    )
}
