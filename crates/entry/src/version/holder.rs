//! The active version of the configuration in this process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dfs_conf::Adoption;
use dfs_conf::Config;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_conf::EncodedUpdate;
use dfs_conf::EvacuationUpdate;
use dfs_conf::Identity;
use dfs_conf::QueueIndex;
use dfs_conf::TokenIndex;
use dfs_conf::UpdateLog;
use dfs_ids::Clock;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_log::Gauge;
use dfs_log::Metrics;
use dfs_policy::entry::EntryEvent;
use tokio::sync::watch;

use super::traffic::AnsweredRead;
use super::traffic::ConfigTraffic;
use super::traffic::SentUpdate;
use crate::process::CoreHandle;

/// Shared handle to the active version, which is only ever replaced by a higher one.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    state: Arc<Mutex<State>>,
    clock: Clock,
    core: CoreHandle,
    metrics: Metrics,
    domain: FailureDomain,
    startup_ms: Millis,
    /// Whether there is an active version, or the source has failed to give one.
    is_settled: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    holder: ConfigHolder,
    tokens: TokenIndex,
    queues: Arc<QueueIndex>,
    updates: UpdateLog,
    confirmed_at: Option<Moment>,
    traffic: ConfigTraffic,
}

impl ActiveConfig {
    pub fn new(
        clock: Clock,
        core: CoreHandle,
        metrics: Metrics,
        domain: FailureDomain,
        startup_ms: Millis,
    ) -> Self {
        Self {
            state: Arc::default(),
            clock,
            core,
            metrics,
            domain,
            startup_ms,
            is_settled: watch::Sender::new(false),
        }
    }

    /// Waits for the first version, but only while the process is starting: once it has run for
    /// `startup_ms`, or its source has failed, it returns at once.
    pub async fn wait_for_first(&self) {
        let mut is_settled = self.is_settled.subscribe();
        let settled = is_settled.wait_for(|is_settled| *is_settled);
        let running_ms = self.clock.now().since(Moment::default());
        let left_ms = self.startup_ms.saturating_sub(running_ms);
        // On a timeout the caller finds no version.
        let _ = tokio::time::timeout(left_ms.into(), settled).await;
    }

    /// Activates a version if it is higher than the active one, and notifies the core. Returns whether it is.
    pub fn adopt(&self, update: ConfigUpdate, source: ConfigSource) -> bool {
        let mut state = self.lock();
        let Some(config) = state.adopt(update) else {
            return false;
        };
        let version = config.version;
        // Under the lock, since the threads of sessions and of the source may adopt versions at the same time.
        self.core.send_event(EntryEvent::Configured(config));
        self.metrics.set(Gauge::ConfigVersion, version.get());
        drop(state);
        self.is_settled.send_replace(true);
        let domain = self.domain.clone();
        dfs_log::emit(ConfigEvent::Adopted {
            version,
            domain,
            source,
        });
        true
    }

    /// Passes on what a read of the source shows of evacuated failure domains; the core holds the set.
    pub fn update_evacuations(&self, update: EvacuationUpdate, sent_at: Moment) {
        self.core
            .send_event(EntryEvent::EvacuationsRead { update, sent_at });
    }

    /// Ends the wait for the first version, because its source has failed.
    pub fn stop_waiting(&self) {
        self.is_settled.send_replace(true);
    }

    pub fn current(&self) -> Option<Arc<Config>> {
        self.lock().holder.current().cloned()
    }

    /// Number of the active version, zero before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.lock().holder.version().unwrap_or_default()
    }

    /// The serialized update for a process that holds version `held`, `None` if it needs none.
    pub fn update_for(&self, held: ConfigVersion) -> Option<EncodedUpdate> {
        let mut state = self.lock();
        let current = Arc::clone(state.holder.current()?);
        state.updates.update_for(held, &current)
    }

    /// Records an answered read of the store.
    pub(super) fn record_read(&self, read: AnsweredRead) {
        let now = self.clock.now();
        self.lock().traffic.record_read(now, read, &self.metrics);
    }

    /// Records an update that is sent to an agent.
    pub fn record_update(&self, update: &EncodedUpdate) {
        let now = self.clock.now();
        let update = SentUpdate {
            bytes: update.json.get().len() as u64,
            is_full: update.is_full,
        };
        let mut state = self.lock();
        state.traffic.record_update(now, update, &self.metrics);
    }

    /// Records how many messages wait for an agent, after an update was queued for it.
    pub fn record_queue(&self, queued_messages: u64) {
        let mut state = self.lock();
        state.traffic.record_queue(queued_messages, &self.metrics);
    }

    /// Logs what was read and passed on since the last time, at most once a second.
    pub fn log_traffic(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let version = state.holder.version().unwrap_or_default();
        let event = state.traffic.take_event(now, version);
        drop(state);
        if let Some(event) = event {
            dfs_log::emit(event);
        }
    }

    /// Records that the store has just confirmed the active version as the latest.
    pub fn mark_confirmed(&self) {
        self.lock().confirmed_at = Some(self.clock.now());
    }

    /// Time since the store last confirmed the active version as the latest.
    pub fn age_ms(&self) -> Option<Millis> {
        let confirmed_at = self.lock().confirmed_at;
        confirmed_at.map(|at| self.clock.now().since(at))
    }

    /// The queues of the active version, `None` before the first one.
    pub fn queues(&self) -> Option<Arc<QueueIndex>> {
        let state = self.lock();
        state.holder.current()?;
        Some(Arc::clone(&state.queues))
    }

    /// The group or operator to which a token belongs.
    pub fn token_owner(&self, token: &str) -> Option<Identity> {
        self.lock().tokens.owner(token).cloned()
    }

    /// Ignores poisoning: a panic while the lock is held leaves no half-made update behind.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn adopt(&mut self, update: ConfigUpdate) -> Option<Arc<Config>> {
        let previous = self.holder.current().cloned();
        let received = match &update {
            ConfigUpdate::Diffs(diffs) => diffs.clone(),
            ConfigUpdate::Full(_) => Vec::new(),
        };
        // A diff from another base version is dropped; the sender learns which version is active
        // here.
        let adoption = self.holder.apply_update(update).ok()?;
        if matches!(adoption, Adoption::NotNewer { .. }) {
            return None;
        }
        let config = self.holder.current()?.clone();
        self.tokens = TokenIndex::new(&config.inventory);
        self.queues = Arc::new(QueueIndex::new(&config.inventory.queues));
        self.updates.record(previous.as_deref(), &config, received);
        Some(config)
    }
}
