//! Start and graceful shutdown of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use axum::Router;
use dfs_conf::EntryLimits;
use dfs_conf::EntrySettings;
use dfs_conf::TokenDigest;
use dfs_ids::Clock;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_inbox::ShutdownOutcome;
use dfs_inbox::graceful_shutdown;
use dfs_listen::RequestBudget;
use dfs_log::ConfigSource;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use dfs_policy::entry as policy;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::reads::ReadTiming;
use dfs_store::ClaimSettings;
use dfs_store::Claimer;
use dfs_store::ConfigStore;
use dfs_store::HttpObjects;
use dfs_store::HttpTable;
use dfs_store::Presence;
use dfs_store::PresenceRow;
use dfs_store::TableService;
use dfs_store::WriteBudget;
use dfs_wire::session::EntryItem;
use rand::Rng;
use serde_json::value::RawValue;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Core;
use super::CoreHandle;
use super::Lifecycle;
use super::Phase;
use super::StartError;
use super::core::Outgoing;
use super::error::ConfigThreadSnafu;
use super::error::ListenSnafu;
use super::presence;
use crate::connection::SessionServer;
use crate::connection::serve_callers;
use crate::edge::EntryAdapter;
use crate::edge::Ingress;
use crate::request;
use crate::version::ActiveConfig;
use crate::version::follow_feed;
use crate::version::poll_head;
use crate::version::spawn_on_own_thread;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Bound address of the HTTP interface for callers and operators.
    pub address: SocketAddr,
    /// Bound address of the session server for agents.
    pub session_address: SocketAddr,
    lifecycle: Lifecycle,
    core: CoreHandle,
    sessions: SessionServer,
    limits: EntryLimits,
    caller_server: JoinHandle<()>,
    stopped: tokio::sync::watch::Receiver<bool>,
    background_tasks: Vec<JoinHandle<()>>,
}

/// Default interval of the polls of the table service, after which another entry should have a version too.
const STANDALONE_PROPAGATION_MS: Millis = Millis::new(1_000);

/// Longest wait for the last answers to be written after a shutdown has timed out.
const FINAL_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    /// Starts an entry with the built-in HTTP interface and the stores named in the settings, which
    /// must have been checked.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(settings: EntrySettings, metrics: Metrics) -> Result<Self, StartError> {
        let host = Host::Standalone(StoreClients::new(&settings));
        Self::start_on(settings, metrics, host).await
    }

    /// Starts an entry with the HTTP routes, presence store and configuration source of an adapter.
    /// The settings must have been checked.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start_with_adapter(
        settings: EntrySettings,
        metrics: Metrics,
        adapter: EntryAdapter,
    ) -> Result<Self, StartError> {
        Self::start_on(settings, metrics, Host::Adapted(adapter)).await
    }

    #[expect(clippy::unused_async, reason = "sockets and tasks need a runtime")]
    async fn start_on(
        settings: EntrySettings,
        metrics: Metrics,
        host: Host,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let incarnation = Incarnation::new(rand::rng().random());
        dfs_log::emit(ProcessEvent::Starting {
            process: ProcessName::Entry(settings.entry.clone()),
            domain: settings.domain.clone(),
            incarnation,
        });
        let identity = Identity {
            entry: settings.entry.clone(),
            domain: settings.domain.clone(),
            incarnation,
            lease: settings.lease.clone(),
            propagation_ms: host.propagation_ms(),
        };
        let policy = policy::Entry::new(identity, rand::rng().random());
        let (outgoing, incoming) = mpsc::unbounded_channel();
        let (core, handle) = Core::new(policy, clock, metrics.clone(), outgoing);
        let active_config = ActiveConfig::new(
            clock,
            handle.clone(),
            metrics.clone(),
            settings.domain.clone(),
            settings.lease.startup_ms,
        );
        let shares = settings.limits.memory_shares();
        let budget = RequestBudget::new(shares.request_bytes, metrics.clone());
        let sessions =
            SessionServer::start(&settings, handle.clone(), metrics.clone(), budget.clone())?;
        let address = settings.listen_address;
        let listener = dfs_listen::bind(address, shares.socket_buffer_bytes)
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;

        let lifecycle = Lifecycle::new();
        let state = Arc::new(request::SharedState {
            core: handle.clone(),
            active_config: active_config.clone(),
            lifecycle: lifecycle.clone(),
            readiness: core.readiness(),
            limits: settings.limits.clone(),
            metrics,
            budget: budget.clone(),
            incarnation,
            next_serial: AtomicU64::new(0),
            aliases: Mutex::new(HashMap::new()),
        });
        let row = PresenceRow {
            entry: settings.entry.clone(),
            incarnation,
            domain: settings.domain.clone(),
            address: settings.advertised_address.unwrap_or(sessions.address),
            lease_ms: presence::PRESENCE_LEASE_MS,
        };
        let (stopped_sender, stopped) = tokio::sync::watch::channel(false);
        let presence = host.presence();
        let mut background_tasks = vec![
            tokio::spawn(core.run()),
            tokio::spawn(forward_outgoing(
                incoming,
                active_config.clone(),
                handle.clone(),
                stopped_sender,
            )),
            tokio::spawn(presence::maintain(presence, row, clock, handle.clone())),
        ];
        let router = host.build_router(
            &settings,
            state,
            clock,
            active_config,
            &mut background_tasks,
        )?;
        let caller_server = tokio::spawn(serve_callers(
            listener,
            router,
            settings.limits.clone(),
            budget,
            lifecycle.clone(),
        ));
        dfs_log::emit(ProcessEvent::Listening {
            listener: Listener::Callers,
            address,
        });
        let session_address = sessions.address;
        dfs_log::emit(ProcessEvent::Listening {
            listener: Listener::Agents,
            address: session_address,
        });
        Ok(Self {
            address,
            session_address,
            lifecycle,
            core: handle,
            sessions,
            limits: settings.limits,
            caller_server,
            stopped,
            background_tasks,
        })
    }

    /// Shuts down gracefully: waits until every submission is answered, but no longer than
    /// `drain_ms` of the settings. Ends at once when `second_signal` resolves.
    pub async fn stop(mut self, second_signal: impl Future<Output = ()>) -> ShutdownOutcome {
        let (core, drain_ms) = (self.core.clone(), self.limits.drain_ms);
        let outcome = graceful_shutdown(drain_ms, &core, self.drain(), second_signal).await;
        self.sessions.stop();
        self.background_tasks.iter().for_each(JoinHandle::abort);
        if outcome == ShutdownOutcome::TimedOut {
            self.close_callers().await;
        }
        outcome
    }

    async fn drain(&mut self) {
        self.lifecycle.advance(Phase::Unready);
        tokio::time::sleep(Duration::from(self.limits.unready_ms)).await;
        self.lifecycle.advance(Phase::Draining);
        self.core.send_event(EntryEvent::Shutdown);
        // The sender is dropped only with the core.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
        self.lifecycle.advance(Phase::Closed);
        // The task has no result.
        let _ = (&mut self.caller_server).await;
    }

    /// Closes the caller connections after the core has been aborted. Each open submission is then
    /// answered with an unknown outcome, and the answers need a moment to be written.
    async fn close_callers(&mut self) {
        self.lifecycle.advance(Phase::Closed);
        if !self.caller_server.is_finished() {
            let _ = tokio::time::timeout(FINAL_ANSWERS_TIMEOUT, &mut self.caller_server).await;
        }
    }
}

/// Clients of the table and object stores; all writes of the process share one rate limit.
struct StoreClients {
    presence: Presence,
    config_store: ConfigStore,
    /// The same rows on connections that no other client uses.
    polled_config_store: ConfigStore,
    claimer: Claimer,
}

impl StoreClients {
    fn new(settings: &EntrySettings) -> Self {
        let store = &settings.store;
        let connect_table = || -> Arc<dyn TableService> {
            Arc::new(HttpTable::new(store.table_address, store.timeout_ms))
        };
        let budget = Arc::new(WriteBudget::per_second(store.max_writes_per_s));
        let connect_config = |table| {
            let objects = Arc::new(HttpObjects::new(store.object_address, store.timeout_ms));
            ConfigStore::new(table, objects, Arc::clone(&budget))
        };
        let table = connect_table();
        Self {
            config_store: connect_config(Arc::clone(&table)),
            polled_config_store: connect_config(connect_table()),
            claimer: Claimer::spawn(
                Arc::clone(&table),
                Arc::clone(&budget),
                ClaimSettings::default(),
            ),
            presence: Presence::new(table, budget),
        }
    }
}

/// Where the HTTP interface and the stores of the entry come from.
enum Host {
    /// The built-in ones.
    Standalone(StoreClients),
    /// Those of another platform.
    Adapted(EntryAdapter),
}

impl Host {
    /// How long this entry and agents wait for a version from their source before they ask each other.
    fn propagation_ms(&self) -> Millis {
        match self {
            Self::Standalone(_) => STANDALONE_PROPAGATION_MS,
            Self::Adapted(adapter) => ReadTiming::within(adapter.config_bound_ms).resend_ms,
        }
    }

    fn presence(&self) -> Presence {
        match self {
            Self::Standalone(clients) => clients.presence.clone(),
            Self::Adapted(adapter) => adapter.presence.clone(),
        }
    }

    /// Builds the routes for callers, and starts to follow the configuration.
    fn build_router(
        self,
        settings: &EntrySettings,
        state: Arc<request::SharedState>,
        clock: Clock,
        active_config: ActiveConfig,
        background_tasks: &mut Vec<JoinHandle<()>>,
    ) -> Result<Router, StartError> {
        let (follower, router) = match self {
            Self::Standalone(clients) => {
                let poll = poll_head(
                    settings.store.clone(),
                    clients.polled_config_store,
                    clock,
                    active_config,
                );
                let router = request::router(Arc::new(request::ApiState {
                    shared: state,
                    config_store: clients.config_store,
                    claimer: clients.claimer,
                    bootstrap_token: TokenDigest::of(&settings.session_secret),
                }));
                (spawn_on_own_thread(poll), router)
            }
            Self::Adapted(adapter) => {
                let timing = ReadTiming::within(adapter.config_bound_ms);
                let follow = follow_feed(adapter.feed, timing, clock, active_config);
                let router = (adapter.router)(Ingress { state });
                (spawn_on_own_thread(follow), router)
            }
        };
        background_tasks.push(follower.context(ConfigThreadSnafu)?);
        Ok(router)
    }
}

/// Handles the output of the core that concerns other parts of the process.
async fn forward_outgoing(
    mut incoming: mpsc::UnboundedReceiver<Outgoing>,
    active_config: ActiveConfig,
    core: CoreHandle,
    stopped: tokio::sync::watch::Sender<bool>,
) {
    while let Some(outgoing) = incoming.recv().await {
        match outgoing {
            Outgoing::OfferConfig { connection, have } => {
                if let Some(update) = active_config.update_for(have) {
                    active_config.record_update(&update);
                    let item = EntryItem::Config(RawValue::to_owned(&update.json));
                    core.send_event(EntryEvent::SendItem { connection, item });
                }
            }
            Outgoing::UpdateQueued { queued_messages } => {
                active_config.record_queue(queued_messages);
            }
            Outgoing::ConfigReceived(body) => {
                if let Ok(update) = serde_json::from_str(body.get()) {
                    active_config.adopt(update, ConfigSource::Session);
                }
            }
            Outgoing::ShutdownComplete => {
                stopped.send_replace(true);
            }
        }
    }
}
