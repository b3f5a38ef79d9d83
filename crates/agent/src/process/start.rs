//! Start and graceful shutdown of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dfs_conf::AgentSettings;
use dfs_conf::StoreSettings;
use dfs_ids::Clock;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_inbox::ShutdownOutcome;
use dfs_inbox::graceful_shutdown;
use dfs_listen::Limits;
use dfs_listen::Overflow;
use dfs_listen::RequestBudget;
use dfs_listen::StreamLimits;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use dfs_policy::agent as policy;
use dfs_policy::agent::AgentEvent;
use dfs_store::HttpTable;
use dfs_store::Presence;
use rand::Rng;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::CoreHandle;
use super::StartError;
use super::core::Core;
use super::error::ListenSnafu;
use super::roster::DialManager;
use super::version::HeldConfig;
use crate::edge::AgentAdapter;
use crate::edge::TargetEvents;
use crate::request;
use crate::request::HttpTarget;

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 16 << 10;
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than the interval between heartbeats of any target, which keeps its connection.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    /// Bound address on which the target announces itself.
    pub address: SocketAddr,
    drain_ms: Millis,
    core: CoreHandle,
    stopped: tokio::sync::watch::Receiver<bool>,
    background_tasks: Vec<JoinHandle<()>>,
}

fn http_presence(store: &StoreSettings) -> Presence {
    let table = HttpTable::new(store.table_address, store.timeout_ms);
    Presence::from_settings(Arc::new(table), store)
}

/// Limits of the listener for the target, which anyone may reach.
fn target_limits(settings: &AgentSettings) -> Limits {
    Limits {
        listener: Listener::Target,
        max_connections: settings.limits.max_connections as usize,
        overflow: Overflow::EvictOldest,
        max_headers: MAX_HEADERS,
        max_head_bytes: MAX_HEAD_BYTES,
        stream: StreamLimits {
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: Some(WRITE_TIMEOUT),
            max_head_bytes: None,
        },
    }
}

impl Agent {
    /// Starts an agent with the built-in target protocol, and the presence store named in the
    /// settings, which must have been checked.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: AgentSettings, metrics: Metrics) -> Result<Self, StartError> {
        let adapter = AgentAdapter {
            clock: Clock::start(),
            driver: Arc::new(HttpTarget::new(&settings)),
            router: Box::new(request::router),
            takeover_complete: Box::pin(std::future::ready(None)),
            presence: settings.store.as_ref().map(http_presence),
            evacuations: None,
        };
        Self::start_with_adapter(settings, metrics, adapter).await
    }

    /// Starts an agent with the target driver, HTTP routes and presence store of an adapter. The
    /// settings must have been checked.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    #[expect(clippy::unused_async, reason = "sockets and tasks need a runtime")]
    pub async fn start_with_adapter(
        settings: AgentSettings,
        metrics: Metrics,
        adapter: AgentAdapter,
    ) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let incarnation = Incarnation::new(rand::rng().random());
        dfs_log::emit(ProcessEvent::Starting {
            process: ProcessName::Agent(settings.agent.clone()),
            domain: settings.domain.clone(),
            incarnation,
        });
        let address = settings.listen_address;
        let shares = settings.limits.memory_shares();
        let budget = RequestBudget::new(shares.request_bytes, metrics.clone());
        let listener = dfs_listen::bind(address, shares.socket_buffer_bytes)
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (dial_sender, dial_events) = mpsc::unbounded_channel();
        let mut policy = policy::Agent::new(incarnation, settings.keep_results_ms)
            .in_domain(settings.domain.clone());
        if let Some(reads) = &adapter.evacuations {
            policy = policy.reading_evacuations(reads.bound_ms);
        }
        let (core, handle, stopped) = Core::new(
            policy,
            adapter.clock,
            metrics,
            adapter.driver,
            adapter.evacuations,
            HeldConfig::new(settings.domain.clone()),
            dial_sender.clone(),
        );
        let router = (adapter.router)(TargetEvents {
            core: handle.clone(),
        });
        let limits = target_limits(&settings);
        let dial_manager = DialManager::new(
            Arc::clone(&settings),
            incarnation,
            handle.clone(),
            dial_sender,
            dial_events,
            adapter.presence,
        );
        let background_tasks = vec![
            tokio::spawn(core.run()),
            tokio::spawn(async move {
                let takeover = adapter.takeover_complete.await;
                dial_manager.run(takeover).await;
            }),
            tokio::spawn(async move {
                // The server runs until the process ends.
                let never = std::future::pending();
                dfs_listen::serve(listener, router, limits, budget, never).await;
            }),
        ];
        dfs_log::emit(ProcessEvent::Listening {
            listener: Listener::Target,
            address,
        });
        let drain_ms = settings.drain_ms;
        Ok(Self {
            address,
            drain_ms,
            core: handle,
            stopped,
            background_tasks,
        })
    }

    /// Shuts down gracefully: hands queued tasks back to their entries, waits for running ones and
    /// delivers their results, but takes no longer than `drain_ms` of the settings. Ends at once
    /// when `second_signal` resolves.
    pub async fn stop(mut self, second_signal: impl Future<Output = ()>) -> ShutdownOutcome {
        self.core.send_event(AgentEvent::Shutdown);
        let stopped = self.stopped.wait_for(|stopped| *stopped);
        let outcome = graceful_shutdown(self.drain_ms, &self.core, stopped, second_signal).await;
        self.background_tasks.iter().for_each(JoinHandle::abort);
        outcome
    }
}
