//! Stand-in servers for the platform, clients for them, and small configurations.

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

/// Timeout of calls that are expected to get a reply, long enough for a busy machine.
pub const TIMEOUT_MS: Millis = Millis::new(30_000);
/// Timeout of calls that are expected to run into it.
pub const SHORT_TIMEOUT_MS: Millis = Millis::new(400);

pub struct TestPlatform {
    pub table: TableStandin,
    pub objects: ObjectStandin,
}

impl TestPlatform {
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
        ConfigStore::new(
            self.client(timeout_ms),
            Arc::new(objects),
            unlimited_budget(),
        )
    }
}

/// A write budget that no test exhausts.
pub fn unlimited_budget() -> Arc<WriteBudget> {
    Arc::new(WriteBudget::new(1_000_000, Duration::from_secs(1)))
}

/// A change from `base` to the next version. The id also names the failure domain in its
/// configuration, so that the contents of changes differ as well.
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
