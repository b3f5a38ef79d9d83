//! Follows the configuration source of an adapter.

use std::time::Duration;

use dfs_conf::ConfigUpdate;
use dfs_ids::Clock;
use dfs_log::ConfigSource;

use super::ActiveConfig;
use super::link::StoreHealth;
use crate::edge::ConfigFeed;

/// Wait after a failed read, short since a new version must be active within two seconds.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Adopts each newer version from the feed, for as long as the process lives.
pub(crate) async fn follow_feed(
    mut feed: Box<dyn ConfigFeed>,
    clock: Clock,
    active_config: ActiveConfig,
) {
    let mut health = StoreHealth::default();
    loop {
        let sent_at = clock.now();
        match feed.next().await {
            Ok(configs) => {
                for config in configs {
                    active_config.adopt(ConfigUpdate::Full(Box::new(config)), ConfigSource::Store);
                }
                health.record_success(&active_config, clock.now().since(sent_at));
            }
            Err(error) => {
                health.record_failure(&active_config, &error);
                active_config.stop_waiting();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
