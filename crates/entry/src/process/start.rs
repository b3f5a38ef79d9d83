//! Starting and stopping an entry.

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
use dfs_inbox::ShutdownOutcome;
use dfs_inbox::graceful_shutdown;
use dfs_log::ConfigSource;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use dfs_policy::entry as policy;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
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
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Core;
use super::CoreHandle;
use super::Gate;
use super::Phase;
use super::StartError;
use super::core::Outgoing;
use super::error::ListenSnafu;
use super::presence;
use crate::connection::SessionServer;
use crate::connection::serve_callers;
use crate::edge::EntryAdapter;
use crate::edge::Ingress;
use crate::request;
use crate::version::Holder;
use crate::version::follow;
use crate::version::poll;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for agents.
    pub session_address: SocketAddr,
    gate: Gate,
    core: CoreHandle,
    sessions: SessionServer,
    limits: EntryLimits,
    callers: JoinHandle<()>,
    stopped: tokio::sync::watch::Receiver<bool>,
    background: Vec<JoinHandle<()>>,
}

/// Longest wait for the answers of a stop that passed its bound.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    /// Starts an entry from checked settings.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(settings: EntrySettings, metrics: Metrics) -> Result<Self, StartError> {
        let edge = Edge::Native(Platform::new(&settings));
        Self::start_at(settings, metrics, edge).await
    }

    /// Starts an entry from checked settings with the interface and store of another host.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start_with_adapter(
        settings: EntrySettings,
        metrics: Metrics,
        edge: EntryAdapter,
    ) -> Result<Self, StartError> {
        Self::start_at(settings, metrics, Edge::Hosted(edge)).await
    }

    async fn start_at(
        settings: EntrySettings,
        metrics: Metrics,
        edge: Edge,
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
        };
        let decisions = policy::Entry::new(identity, rand::rng().random());
        let (outgoing, incoming) = mpsc::unbounded_channel();
        let (core, handle) = Core::new(decisions, clock, metrics.clone(), outgoing);
        let holder = Holder::new(
            clock,
            handle.clone(),
            metrics.clone(),
            settings.domain.clone(),
        );
        let sessions = SessionServer::start(&settings, handle.clone(), metrics.clone()).await?;
        let address = settings.listen_address;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;

        let gate = Gate::new();
        let state = Arc::new(request::State {
            core: handle.clone(),
            holder: holder.clone(),
            gate: gate.clone(),
            readiness: core.readiness(),
            limits: settings.limits.clone(),
            metrics,
            incarnation,
            serial: AtomicU64::new(0),
            names: Mutex::new(HashMap::new()),
        });
        let row = PresenceRow {
            entry: settings.entry.clone(),
            incarnation,
            domain: settings.domain.clone(),
            address: settings.advertised_address.unwrap_or(sessions.address),
            lease_ms: presence::PRESENCE_LEASE_MS,
        };
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let presence = edge.presence();
        let mut background = vec![
            tokio::spawn(core.run()),
            tokio::spawn(pass_on(incoming, holder.clone(), handle.clone(), stop)),
            tokio::spawn(presence::keep(presence, row, clock, handle.clone())),
        ];
        let router = edge.serve(&settings, state, holder, &mut background);
        let callers = tokio::spawn(serve_callers(
            listener,
            router,
            settings.limits.clone(),
            gate.clone(),
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
            gate,
            core: handle,
            sessions,
            limits: settings.limits,
            callers,
            stopped,
            background,
        })
    }

    /// Stops without cutting a submission, within the bound of the settings.
    pub async fn stop(mut self, asked_again: impl Future<Output = ()>) -> ShutdownOutcome {
        let (core, drain_ms) = (self.core.clone(), self.limits.drain_ms);
        let kind = graceful_shutdown(drain_ms, &core, self.drain(), asked_again).await;
        self.sessions.stop();
        self.background.iter().for_each(JoinHandle::abort);
        if kind == ShutdownOutcome::TimedOut {
            self.close_callers().await;
        }
        kind
    }

    async fn drain(&mut self) {
        self.gate.advance(Phase::Unready);
        tokio::time::sleep(Duration::from(self.limits.unready_ms)).await;
        self.gate.advance(Phase::Draining);
        self.core.event(EntryEvent::Stop);
        // The sender ends only with the core.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
        self.gate.advance(Phase::Closed);
        // The server only ends; it has no result.
        let _ = (&mut self.callers).await;
    }

    /// Without its core every submission still open is answered as unknown; the answers get a moment
    /// to leave.
    async fn close_callers(&mut self) {
        self.gate.advance(Phase::Closed);
        if !self.callers.is_finished() {
            let _ = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, &mut self.callers).await;
        }
    }
}

/// Clients of the platform; all writes of the process share one budget.
struct Platform {
    presence: Presence,
    config: ConfigStore,
    claimer: Claimer,
}

impl Platform {
    fn new(settings: &EntrySettings) -> Self {
        let store = &settings.store;
        let table: Arc<dyn TableService> =
            Arc::new(HttpTable::new(store.table_address, store.timeout_ms));
        let objects = Arc::new(HttpObjects::new(store.object_address, store.timeout_ms));
        let budget = Arc::new(WriteBudget::per_second(store.max_writes_per_s));
        Self {
            config: ConfigStore::new(Arc::clone(&table), objects, Arc::clone(&budget)),
            claimer: Claimer::spawn(
                Arc::clone(&table),
                Arc::clone(&budget),
                ClaimSettings::default(),
            ),
            presence: Presence::new(table, budget),
        }
    }
}

/// The product's own interface and store, or those of another host.
enum Edge {
    Native(Platform),
    Hosted(EntryAdapter),
}

impl Edge {
    fn presence(&self) -> Presence {
        match self {
            Self::Native(platform) => platform.presence.clone(),
            Self::Hosted(edge) => edge.presence.clone(),
        }
    }

    /// The paths for callers; starts what follows the configuration.
    fn serve(
        self,
        settings: &EntrySettings,
        state: Arc<request::State>,
        holder: Holder,
        background: &mut Vec<JoinHandle<()>>,
    ) -> Router {
        match self {
            Self::Native(platform) => {
                let store = platform.config.clone();
                background.push(tokio::spawn(poll(settings.store.clone(), store, holder)));
                request::router(Arc::new(request::Native {
                    state,
                    store: platform.config,
                    claimer: platform.claimer,
                    bootstrap: TokenDigest::of(&settings.session_secret),
                }))
            }
            Self::Hosted(edge) => {
                background.push(tokio::spawn(follow(edge.feed, holder)));
                (edge.router)(Ingress { state })
            }
        }
    }
}

/// Carries what the core has for the other parts of the process.
async fn pass_on(
    mut incoming: mpsc::UnboundedReceiver<Outgoing>,
    holder: Holder,
    core: CoreHandle,
    stop: tokio::sync::watch::Sender<bool>,
) {
    while let Some(outgoing) = incoming.recv().await {
        match outgoing {
            Outgoing::OfferConfig { connection, have } => {
                if let Some(update) = holder.update_for(have) {
                    let item = EntryItem::Config(RawValue::to_owned(&update));
                    core.event(EntryEvent::SendItem { connection, item });
                }
            }
            Outgoing::ConfigReceived(body) => {
                if let Ok(update) = serde_json::from_str(body.get()) {
                    holder.adopt(update, ConfigSource::Session);
                }
            }
            Outgoing::Stopped => {
                stop.send_replace(true);
            }
        }
    }
}
