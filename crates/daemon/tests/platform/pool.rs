//! A pool of entries and agents as processes. Every node has an address of its own, which it keeps when it restarts.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::client;
use crate::daemon::Daemon;
use crate::daemon::Role;
use crate::ledger::Ledger;
use crate::relay::LinkState;
use crate::relay::Relay;
use crate::settings::PREFIX;
use crate::settings::SERVICE;
use crate::settings::agent_settings;
use crate::settings::config;
use crate::settings::entry_settings;
use crate::store::FakeStore;
use crate::store::Link;
use crate::wait_until;
use crate::worker::FakeWorker;

const SERVED_POLL_INTERVAL: Duration = Duration::from_millis(50);
const SUBNETS_PER_PROCESS: u32 = 64;
const WORKER_HOST: u8 = 1;
const AGENT_HOST: u8 = 100;
const ENTRY_HOST: u8 = 200;
// Below the ports that the system gives out.
const WORKER_PORT: u16 = 8080;
const ENTRY_PORT: u16 = 8161;
const AGENT_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const SESSION_PORT: u16 = 7720;

/// Number of pools that this process has started.
static POOLS: AtomicU32 = AtomicU32::new(0);

pub struct Pool {
    pub store: FakeStore,
    pub ledger: Ledger,
    pub workers: Vec<FakeWorker>,
    /// Listeners of the workers.
    pub listeners: Vec<Arc<Relay>>,
    pub entries: Vec<Daemon>,
    /// Links from the entries to the store.
    pub entry_links: Vec<Link>,
    pub agents: Vec<Daemon>,
    /// Zones of the workers.
    zones: Vec<&'static str>,
    subnet: [u8; 3],
    secret: String,
    store_address: SocketAddr,
    /// Addresses of the store at the other ends of the entries' links.
    entry_store_addresses: Vec<SocketAddr>,
    directory: TempDir,
    /// Number of processes started so far.
    starts: usize,
    /// Changes the settings of a process before it starts.
    adjust: fn(Role, &mut Value),
}

impl Pool {
    /// Starts a pool in one zone and waits until its entries run jobs.
    pub async fn start(entries: usize, workers: usize) -> Self {
        Self::start_with(entries, workers, |_, _| {}).await
    }

    /// Like [`Self::start`], with changed settings.
    pub async fn start_with(entries: usize, workers: usize, adjust: fn(Role, &mut Value)) -> Self {
        Self::launch(entries, &vec!["lagos"; workers], adjust).await
    }

    /// Starts a pool with a worker in each of these zones, and waits until its entries run jobs.
    pub async fn start_in_zones(entries: usize, zones: &[&'static str]) -> Self {
        Self::launch(entries, zones, |_, _| {}).await
    }

    async fn launch(entries: usize, zones: &[&'static str], adjust: fn(Role, &mut Value)) -> Self {
        let store = FakeStore::default();
        let store_address = store.serve(Link::default()).await;
        store.put_config(&config(4, PREFIX));
        let number =
            std::process::id() * SUBNETS_PER_PROCESS + POOLS.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = number.to_be_bytes();
        let directory = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap();
        let mut pool = Self {
            store,
            ledger: Ledger::default(),
            workers: Vec::new(),
            listeners: Vec::new(),
            entries: Vec::new(),
            entry_links: Vec::new(),
            agents: Vec::new(),
            zones: zones.to_vec(),
            subnet: [127, high, low],
            secret: format!("secret-of-{store_address}"),
            store_address,
            entry_store_addresses: Vec::new(),
            directory,
            starts: 0,
            adjust,
        };
        for index in 0..zones.len() {
            pool.add_worker(index).await;
        }
        for index in 0..entries {
            let link = Link::default();
            let store_address = pool.store.serve(link.clone()).await;
            pool.entry_links.push(link);
            pool.entry_store_addresses.push(store_address);
            let entry = pool.spawn_entry(index);
            pool.entries.push(entry);
        }
        for index in 0..entries {
            pool.wait_served(index).await;
        }
        pool
    }

    async fn add_worker(&mut self, index: usize) {
        let worker = FakeWorker::new(index, self.ledger.clone());
        let upstream = worker.serve().await;
        let address = self.address(WORKER_HOST, index, WORKER_PORT);
        let listener = Relay::start_at(address, Some(upstream)).await;
        let agent = self.spawn_agent(index);
        let agent_address = self.agent_address(index);
        let heartbeats = worker
            .clone()
            .send_heartbeats(SERVICE.to_owned(), address, agent_address);
        tokio::spawn(heartbeats);
        self.workers.push(worker);
        self.listeners.push(Arc::new(listener));
        self.agents.push(agent);
    }

    fn spawn_entry(&mut self, index: usize) -> Daemon {
        let mut settings = entry_settings(index, &self.secret, self.entry_store_addresses[index]);
        settings["entry"]["listen_address"] = json!(self.entry_address(index));
        settings["entry"]["session_address"] = json!(self.address(ENTRY_HOST, index, SESSION_PORT));
        settings["host"]["ready_address"] = json!(self.address(ENTRY_HOST, index, READY_PORT));
        (self.adjust)(Role::Entry, &mut settings);
        self.spawn(Role::Entry, index, &settings)
    }

    fn spawn_agent(&mut self, index: usize) -> Daemon {
        let worker = self.address(WORKER_HOST, index, WORKER_PORT);
        let mut settings = agent_settings(index, &self.secret, self.store_address, worker);
        settings["agent"]["listen_address"] = json!(self.agent_address(index));
        settings["agent"]["domain"] = json!(self.zones[index]);
        (self.adjust)(Role::Agent, &mut settings);
        self.spawn(Role::Agent, index, &settings)
    }

    fn spawn(&mut self, role: Role, index: usize, settings: &Value) -> Daemon {
        self.starts += 1;
        let run_name = format!("{}-{index}-{}", role.name(), self.starts);
        Daemon::spawn_on_platform(role, &run_name, settings, self.directory.path())
    }

    /// Starts an entry again after it was killed.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.spawn_entry(index);
    }

    /// Starts an agent again after it was killed.
    pub fn restart_agent(&mut self, index: usize) {
        self.agents[index] = self.spawn_agent(index);
    }

    /// Ends a worker with all that runs there.
    pub fn crash_worker(&self, index: usize) {
        self.listeners[index].set_state(LinkState::Refused);
        self.workers[index].crash();
    }

    /// Starts a worker again after a crash, under an id and as one of a kind.
    pub fn boot_worker(&self, index: usize, id: &str, label: &str) {
        self.workers[index].restart_as(id, label);
        self.listeners[index].set_state(LinkState::Open);
    }

    fn address(&self, first_host: u8, index: usize, port: u16) -> SocketAddr {
        let [a, b, c] = self.subnet;
        let host = first_host + u8::try_from(index).unwrap();
        (Ipv4Addr::new(a, b, c, host), port).into()
    }

    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.address(ENTRY_HOST, index, ENTRY_PORT)
    }

    pub fn agent_address(&self, index: usize) -> SocketAddr {
        self.address(AGENT_HOST, index, AGENT_PORT)
    }

    pub fn ready_address(&self, index: usize) -> SocketAddr {
        self.address(ENTRY_HOST, index, READY_PORT)
    }

    pub fn session_address(&self, index: usize) -> SocketAddr {
        self.address(ENTRY_HOST, index, SESSION_PORT)
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        (0..self.entries.len())
            .map(|index| self.entry_address(index))
            .collect()
    }

    /// Whether an entry serves a job of a label until `until`.
    pub async fn is_label_served(&self, index: usize, label: &str, until: Instant) -> bool {
        let address = self.entry_address(index);
        while Instant::now() < until {
            let (id, job) = (client::new_id(), client::job_with_label(1, "1", label));
            if client::post(address, &id, &job).await.status == 200 {
                return true;
            }
            tokio::time::sleep(SERVED_POLL_INTERVAL).await;
        }
        false
    }

    /// Waits until an entry serves a job.
    pub async fn wait_served(&self, index: usize) {
        let address = self.entry_address(index);
        wait_until(&format!("entry {index} serves a job"), async || {
            let (id, job) = (client::new_id(), client::job(1, "1"));
            client::post(address, &id, &job).await.status == 200
        })
        .await;
    }

    /// Waits until no task runs.
    pub async fn wait_idle(&self) {
        wait_until("nothing runs", async || self.ledger.running_count() == 0).await;
    }

    /// Number of lines with the name of an event in the agents' logs, also of processes that have ended.
    pub fn agent_events(&self, name: &str) -> usize {
        let name = format!(" {name} ");
        let files = std::fs::read_dir(self.directory.path()).unwrap();
        let paths = files.map(|file| file.unwrap().path());
        let logs =
            paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
        let count = |path| {
            let log = std::fs::read_to_string(path).unwrap();
            log.lines().filter(|line| line.contains(&name)).count()
        };
        logs.map(count).sum()
    }

    /// Keeps the logs beyond the test, and returns their directory.
    pub fn keep_logs(&mut self) -> &Path {
        self.directory.disable_cleanup(true);
        self.directory.path()
    }
}
