//! Polling the head version in the table service.

use std::time::Duration;

use dfs_conf::StoreSettings;
use dfs_ids::Millis;
use dfs_log::ConfigSource;
use dfs_store::ConfigReadError;
use dfs_store::ConfigStore;
use rand::Rng;

use super::Holder;
use super::link::StoreLink;

/// Part of the poll interval by which polls are spread.
const JITTER: f64 = 0.2;

/// Adopts every higher head version, for as long as the process lives.
pub(crate) async fn poll(settings: StoreSettings, store: ConfigStore, holder: Holder) {
    let mut link = StoreLink::default();
    loop {
        match read(&store, &holder).await {
            Ok(()) => link.answered(&holder),
            Err(error) => link.failed(&holder, &error),
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

fn jittered(interval_ms: Millis) -> Duration {
    let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    Duration::from(interval_ms).mul_f64(factor)
}
