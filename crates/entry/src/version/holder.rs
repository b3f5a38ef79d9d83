//! The version in force in this process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Operator;
use dfs_conf::TokenDigest;
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

use crate::process::CoreHandle;
use dfs_ids::Clock;

/// Holds the version in force; it only ever moves to a higher one.
#[derive(Debug, Clone)]
pub(crate) struct Holder {
    held: watch::Sender<Option<Arc<Config>>>,
    confirmed_at: Arc<Mutex<Option<Moment>>>,
    clock: Clock,
    core: CoreHandle,
    metrics: Metrics,
    domain: FailureDomain,
}

impl Holder {
    pub fn new(clock: Clock, core: CoreHandle, metrics: Metrics, domain: FailureDomain) -> Self {
        Self {
            held: watch::Sender::new(None),
            confirmed_at: Arc::default(),
            clock,
            core,
            metrics,
            domain,
        }
    }

    /// Puts a version in force if it is higher than the one held.
    pub fn adopt(&self, config: Config, source: ConfigSource) {
        let version = config.version;
        let config = Arc::new(config);
        let adopted = self.held.send_if_modified(|held| {
            let higher = held.as_ref().is_none_or(|old| version > old.version);
            if higher {
                *held = Some(Arc::clone(&config));
            }
            higher
        });
        if adopted {
            self.core.event(EntryEvent::Configured(config));
            self.metrics.set(Gauge::ConfigVersion, version.get());
            let domain = self.domain.clone();
            dfs_log::emit(ConfigEvent::Adopted {
                version,
                domain,
                source,
            });
        }
    }

    pub fn held(&self) -> Option<Arc<Config>> {
        self.held.borrow().clone()
    }

    pub fn version(&self) -> ConfigVersion {
        self.held
            .borrow()
            .as_ref()
            .map(|config| config.version)
            .unwrap_or_default()
    }

    /// Notes that the table service has just confirmed the head.
    pub fn confirm(&self) {
        let mut confirmed = self
            .confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *confirmed = Some(self.clock.now());
    }

    /// Time since the table service last confirmed the head.
    pub fn age_ms(&self) -> Option<Millis> {
        let confirmed = *self
            .confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        confirmed.map(|at| self.clock.now().since(at))
    }

    /// The group of a token. Every digest is compared, so that the time tells nothing.
    pub fn group_of(&self, token: &str) -> Option<Group> {
        let config = self.held()?;
        let digest = TokenDigest::of(token);
        let has_token = |group: &&Group| {
            group
                .tokens_sha256
                .iter()
                .filter(|d| d.matches(&digest))
                .count()
                > 0
        };
        let groups: Vec<_> = config.inventory.groups.iter().filter(has_token).collect();
        groups.first().map(|group| Group::clone(group))
    }

    /// The operator of a token; every digest is compared, as for groups.
    pub fn operator_of(&self, token: &str) -> Option<String> {
        let config = self.held()?;
        let digest = TokenDigest::of(token);
        let has_token = |operator: &&Operator| operator.token_sha256.matches(&digest);
        let operators: Vec<_> = config
            .inventory
            .operators
            .iter()
            .filter(has_token)
            .collect();
        operators.first().map(|operator| operator.operator.clone())
    }
}
