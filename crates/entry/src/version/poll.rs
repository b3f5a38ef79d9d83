//! Polls the table service for the newest version of the configuration.

use dfs_conf::StoreSettings;
use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_log::ConfigSource;
use dfs_store::ConfigReadError;
use dfs_store::ConfigStore;
use rand::Rng;

use super::ActiveConfig;
use super::link::StoreHealth;

/// Adopts each newer head version, for as long as the process lives.
pub(crate) async fn poll_head(
    settings: StoreSettings,
    store: ConfigStore,
    clock: Clock,
    active_config: ActiveConfig,
) {
    let mut health = StoreHealth::default();
    let mut due_at = clock.now();
    loop {
        active_config.log_traffic();
        let sent_at = clock.now();
        health.record_sent(sent_at, due_at);
        match refresh(&store, &active_config).await {
            Ok(()) => health.record_success(&active_config, clock.now().since(sent_at)),
            Err(error) => health.record_failure(&active_config, &error),
        }
        let until_due_ms = jittered(settings.poll_ms);
        due_at = clock.now() + until_due_ms;
        tokio::time::sleep(until_due_ms.into()).await;
    }
}

async fn refresh(store: &ConfigStore, active_config: &ActiveConfig) -> Result<(), ConfigReadError> {
    let Some(head) = store.read_head().await? else {
        return Ok(());
    };
    if head.version > active_config.version() {
        let update = store
            .read_update(active_config.version(), head.version)
            .await?;
        active_config.adopt(update, ConfigSource::Store);
    }
    Ok(())
}

fn jittered(interval_ms: Millis) -> Millis {
    let interval_ms = interval_ms.get();
    let jitter_ms = interval_ms * u64::from(StoreSettings::POLL_JITTER_PERCENT) / 100;
    let range_ms = interval_ms - jitter_ms..=interval_ms + jitter_ms;
    Millis::new(rand::rng().random_range(range_ms))
}
