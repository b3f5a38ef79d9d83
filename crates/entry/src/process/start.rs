//! Starting and stopping an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use dfs_conf::EntryLimits;
use dfs_conf::EntrySettings;
use dfs_conf::TokenDigest;
use dfs_ids::Clock;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
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
use crate::request;
use crate::version::Holder;
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

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopKind {
    /// Every open submission was answered.
    Drained,
    /// The time for it ran out.
    BoundPassed,
    /// It was asked for a second time.
    AskedAgain,
}

impl Entry {
    /// Starts an entry from checked settings.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(settings: EntrySettings, metrics: Metrics) -> Result<Self, StartError> {
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

        let platform = Platform::new(&settings);
        let gate = Gate::new();
        let state = Arc::new(request::State {
            core: handle.clone(),
            holder: holder.clone(),
            gate: gate.clone(),
            readiness: core.readiness(),
            store: platform.config.clone(),
            claimer: platform.claimer,
            limits: settings.limits.clone(),
            metrics,
            incarnation,
            serial: AtomicU64::new(0),
            names: Mutex::new(HashMap::new()),
            bootstrap: TokenDigest::of(&settings.session_secret),
        });
        let row = PresenceRow {
            entry: settings.entry.clone(),
            incarnation,
            domain: settings.domain.clone(),
            address: settings.advertised_address.unwrap_or(sessions.address),
            lease_ms: presence::PRESENCE_LEASE_MS,
        };
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let background = vec![
            tokio::spawn(core.run()),
            tokio::spawn(pass_on(incoming, holder.clone(), handle.clone(), stop)),
            tokio::spawn(poll(settings.store.clone(), platform.config, holder)),
            tokio::spawn(presence::keep(
                platform.presence,
                row,
                clock,
                handle.clone(),
            )),
        ];
        let router = request::router(state);
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
    pub async fn stop(mut self, asked_again: impl Future<Output = ()>) -> StopKind {
        let asked = Instant::now();
        let drain_ms = self.limits.drain_ms;
        dfs_log::emit(ProcessEvent::StopRequested { drain_ms });
        let drained = tokio::time::timeout(drain_ms.into(), self.drain());
        let kind = tokio::select! {
            drained = drained => drained.map_or(StopKind::BoundPassed, |()| StopKind::Drained),
            () = asked_again => StopKind::AskedAgain,
        };
        let open = self.core.open();
        let waited = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
        let waited_ms = Millis::new(waited);
        dfs_log::emit(match kind {
            StopKind::Drained => ProcessEvent::Drained { waited_ms },
            StopKind::BoundPassed => ProcessEvent::StopBoundPassed { drain_ms, open },
            StopKind::AskedAgain => ProcessEvent::SecondSignal { open },
        });
        self.sessions.stop();
        self.background.iter().for_each(JoinHandle::abort);
        if kind == StopKind::BoundPassed {
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

/// Clients of the platform.
struct Platform {
    config: ConfigStore,
    claimer: Claimer,
    presence: Presence,
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
