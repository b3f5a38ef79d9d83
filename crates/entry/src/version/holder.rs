//! The version in force in this process.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dfs_conf::Adoption;
use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_conf::Identity;
use dfs_conf::QueueIndex;
use dfs_conf::TokenIndex;
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
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use crate::process::CoreHandle;

/// Differences between successive versions that are kept for processes that lag.
const KEPT_DIFFS: usize = 16;

/// Holds the version in force; it only ever moves to a higher one.
#[derive(Debug, Clone)]
pub(crate) struct Holder {
    state: Arc<Mutex<State>>,
    clock: Clock,
    core: CoreHandle,
    metrics: Metrics,
    domain: FailureDomain,
}

#[derive(Debug, Default)]
struct State {
    holder: ConfigHolder,
    tokens: TokenIndex,
    queues: Arc<QueueIndex>,
    /// Steps between the versions that were in force, the newest last; each is based on the version
    /// that the one before results in.
    diffs: VecDeque<ConfigDiff>,
    /// Updates made for the version in force, by the version that they are based on; zero for the
    /// whole.
    made: BTreeMap<ConfigVersion, Arc<RawValue>>,
    confirmed_at: Option<Moment>,
}

impl Holder {
    pub fn new(clock: Clock, core: CoreHandle, metrics: Metrics, domain: FailureDomain) -> Self {
        Self {
            state: Arc::default(),
            clock,
            core,
            metrics,
            domain,
        }
    }

    /// Puts a version in force if it is higher than the one held.
    pub fn adopt(&self, update: ConfigUpdate, source: ConfigSource) {
        let Some(config) = self.state().adopt(update) else {
            return;
        };
        let version = config.version;
        self.core.event(EntryEvent::Configured(config));
        self.metrics.set(Gauge::ConfigVersion, version.get());
        let domain = self.domain.clone();
        dfs_log::emit(ConfigEvent::Adopted {
            version,
            domain,
            source,
        });
    }

    pub fn held(&self) -> Option<Arc<Config>> {
        self.state().holder.current().cloned()
    }

    /// The version in force, or zero.
    pub fn version(&self) -> ConfigVersion {
        self.state().holder.version().unwrap_or_default()
    }

    /// What a process that holds version `have` needs, if anything, as a message.
    ///
    /// Each update is worked out and serialised once, however many processes need it.
    pub fn update_for(&self, have: ConfigVersion) -> Option<Arc<RawValue>> {
        let mut state = self.state();
        let current = state.holder.current()?;
        if have >= current.version {
            return None;
        }
        let from = state.diffs.iter().position(|diff| diff.base == have);
        let base = from.map_or(ConfigVersion::default(), |_| have);
        if let Some(made) = state.made.get(&base) {
            return Some(Arc::clone(made));
        }
        let update = match from {
            Some(from) => ConfigUpdate::Diffs(state.diffs.range(from..).cloned().collect()),
            None => ConfigUpdate::Whole(Box::new(Config::clone(current))),
        };
        let message: Arc<RawValue> = Arc::from(to_raw_value(&update).ok()?);
        state.made.insert(base, Arc::clone(&message));
        Some(message)
    }

    /// Notes that the table service has just confirmed the head.
    pub fn confirm(&self) {
        self.state().confirmed_at = Some(self.clock.now());
    }

    /// Time since the table service last confirmed the head.
    pub fn age_ms(&self) -> Option<Millis> {
        let confirmed_at = self.state().confirmed_at;
        confirmed_at.map(|at| self.clock.now().since(at))
    }

    /// The queues in force, none before the first version.
    pub fn queues(&self) -> Option<Arc<QueueIndex>> {
        let state = self.state();
        state.holder.current()?;
        Some(Arc::clone(&state.queues))
    }

    /// The owner of a token.
    pub fn owner(&self, token: &str) -> Option<Identity> {
        self.state().tokens.owner(token).cloned()
    }

    /// Every update leaves the state whole, so that a panic elsewhere does no harm to it.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn adopt(&mut self, update: ConfigUpdate) -> Option<Arc<Config>> {
        let before = self.holder.current().cloned();
        let known = match &update {
            ConfigUpdate::Diffs(diffs) => diffs.clone(),
            ConfigUpdate::Whole(_) => Vec::new(),
        };
        // A difference to another version is dropped; the sender learns the version held.
        let adoption = self.holder.offer_update(update).ok()?;
        if matches!(adoption, Adoption::NotNewer { .. }) {
            return None;
        }
        let config = self.holder.current()?.clone();
        self.tokens = TokenIndex::new(&config.inventory);
        self.queues = Arc::new(QueueIndex::new(&config.inventory.queues));
        self.made.clear();
        if let Some(before) = before {
            self.keep_diffs(&before, &config, known);
        }
        Some(config)
    }

    /// Keeps the steps from the version before to the one in force.
    fn keep_diffs(&mut self, before: &Config, config: &Config, known: Vec<ConfigDiff>) {
        let steps: Vec<_> = known
            .into_iter()
            .filter(|d| d.version > before.version)
            .collect();
        if steps.is_empty() {
            self.diffs.push_back(ConfigDiff::between(before, config));
        }
        self.diffs.extend(steps);
        let surplus = self.diffs.len().saturating_sub(KEPT_DIFFS);
        self.diffs.drain(..surplus);
    }
}
