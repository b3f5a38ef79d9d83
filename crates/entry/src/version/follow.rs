//! Following a feed of versions.

use std::time::Duration;

use dfs_conf::ConfigUpdate;
use dfs_log::ConfigSource;

use super::Holder;
use super::link::StoreLink;
use crate::edge::ConfigFeed;

/// Wait after a failed read; a version has two seconds to be in force.
const RETRY: Duration = Duration::from_millis(200);

/// Adopts every higher version, for as long as the process lives.
pub(crate) async fn follow(mut feed: Box<dyn ConfigFeed>, holder: Holder) {
    let mut link = StoreLink::default();
    loop {
        match feed.next().await {
            Ok(configs) => {
                for config in configs {
                    holder.adopt(ConfigUpdate::Whole(Box::new(config)), ConfigSource::Store);
                }
                link.answered(&holder);
            }
            Err(error) => {
                link.failed(&holder, &error);
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}
