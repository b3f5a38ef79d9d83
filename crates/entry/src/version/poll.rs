//! Polling the head version in the table service.

use std::time::Duration;

use dfs_conf::StoreSettings;
use dfs_ids::Millis;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_log::ErrorText;
use dfs_store::ConfigReadError;
use dfs_store::ConfigStore;
use rand::Rng;

use super::Holder;

/// Part of the poll interval by which polls are spread.
const JITTER: f64 = 0.2;

/// Adopts every higher head version, for as long as the process lives.
pub(crate) async fn poll(settings: StoreSettings, store: ConfigStore, holder: Holder) {
    let mut unreachable = false;
    loop {
        match read(&store, &holder).await {
            Ok(()) => {
                if std::mem::take(&mut unreachable) {
                    let outage_ms = holder.age_ms().unwrap_or_default();
                    dfs_log::emit(ConfigEvent::StoreReachable { outage_ms });
                }
                holder.confirm();
            }
            Err(error) => {
                if !std::mem::replace(&mut unreachable, true) {
                    report(&holder, &error);
                }
            }
        }
        tokio::time::sleep(jittered(settings.poll_ms)).await;
    }
}

async fn read(store: &ConfigStore, holder: &Holder) -> Result<(), ConfigReadError> {
    let Some(head) = store.read_head().await? else {
        return Ok(());
    };
    if head.version > holder.version() {
        let update = store.read_update(holder.version(), head.version).await?;
        holder.adopt(update, ConfigSource::Store);
    }
    Ok(())
}

fn report(holder: &Holder, error: &ConfigReadError) {
    dfs_log::emit(ConfigEvent::StoreUnreachable {
        silent_ms: holder.age_ms().unwrap_or_default(),
        version: holder.held().map(|config| config.version),
        error: ErrorText::new(error),
    });
}

fn jittered(interval_ms: Millis) -> Duration {
    let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    Duration::from(interval_ms).mul_f64(factor)
}
