//! A platform of stand-ins with a client, and small configurations.

#![allow(dead_code)]

pub mod scripted;

use std::sync::Arc;
use std::time::Duration;

use dfs_conf::Config;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_standin::ObjectStandin;
use dfs_standin::TableStandin;
use dfs_store::ConfigChange;
use dfs_store::ConfigStore;
use dfs_store::HttpObjects;
use dfs_store::HttpTable;
use dfs_store::TableService;
use dfs_store::WriteBudget;
use serde_json::json;

/// Longest wait for a reply that is expected to come.
pub const TIMEOUT_MS: Millis = Millis::new(30_000);
/// Longest wait for a reply that is not expected to come.
pub const SHORT_TIMEOUT_MS: Millis = Millis::new(400);

pub struct Bench {
    pub table: TableStandin,
    pub objects: ObjectStandin,
}

impl Bench {
    pub async fn spawn() -> Self {
        Self {
            table: TableStandin::spawn().await.unwrap(),
            objects: ObjectStandin::spawn().await.unwrap(),
        }
    }

    pub fn client(&self, timeout_ms: Millis) -> Arc<dyn TableService> {
        Arc::new(HttpTable::new(self.table.address(), timeout_ms))
    }

    pub fn config_store(&self, timeout_ms: Millis) -> ConfigStore {
        let objects = HttpObjects::new(self.objects.address(), timeout_ms);
        ConfigStore::new(self.client(timeout_ms), Arc::new(objects), ample())
    }
}

/// A budget that never holds a test up.
pub fn ample() -> Arc<WriteBudget> {
    Arc::new(WriteBudget::new(1_000_000, Duration::from_secs(1)))
}

/// A change from `base` to the next version, told apart by its id and its domain.
pub fn change(base: u64, id: &str) -> ConfigChange {
    ConfigChange {
        id: id.parse().unwrap(),
        base: ConfigVersion::new(base),
        config: config(base + 1, id),
        diff: None,
    }
}

pub fn config(version: u64, domain: &str) -> Config {
    let config = json!({
        "version": version,
        "inventory": {"domains": [domain], "operators": [], "services": [], "groups": []},
        "rules": {},
    });
    serde_json::from_value(config).unwrap()
}
