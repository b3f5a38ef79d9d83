//! The presence row of this entry, and the list of live entries for agents to connect to.

use std::time::Duration;

use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_log::ConfigEvent;
use dfs_log::ErrorText;
use dfs_policy::entry::EntryEvent;
use dfs_store::Presence;
use dfs_store::PresenceRow;
use dfs_store::PresenceView;
use dfs_wire::session::EntryAddress;
use tokio::time::Instant;

use super::CoreHandle;

/// Time after which an entry that has stopped renewing its row counts as gone.
pub(super) const PRESENCE_LEASE_MS: Millis = Millis::new(30_000);
/// Time between two renewals: a third of the lease, so that one failed renewal does not let it
/// expire.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Time until a failed renewal is repeated. Outages of the store that each end before the next renewal would otherwise
/// let the row expire.
const RENEW_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time until the second renewal; the interval then doubles up to [`RENEW_INTERVAL`].
const FIRST_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of all rows. An entry that was added is known to the agents within it, since
/// entries pass on what they read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Renews the row, removes expired ones and passes the list of live entries to the core, for as
/// long as the process lives.
pub(super) async fn maintain(presence: Presence, row: PresenceRow, clock: Clock, core: CoreHandle) {
    let mut view = PresenceView::default();
    let mut renew_interval = FIRST_RENEW_INTERVAL;
    let mut renew_at = Instant::now();
    loop {
        if Instant::now() >= renew_at {
            if presence.renew(&row).await.is_ok() {
                renew_at = Instant::now() + renew_interval;
                renew_interval = (renew_interval * 2).min(RENEW_INTERVAL);
            } else {
                renew_at = Instant::now() + RENEW_RETRY_INTERVAL;
            }
        }
        if let Ok(rows) = presence.list().await {
            for error in view.observe(&rows, clock.now()) {
                let error = ErrorText::new(&error);
                dfs_log::emit(ConfigEvent::RowUnreadable { error });
            }
            core.send_event(EntryEvent::EntriesChanged(live_addresses(&view)));
            remove_expired(&presence, &view).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn live_addresses(view: &PresenceView) -> Vec<EntryAddress> {
    let address = |row: &PresenceRow| EntryAddress {
        entry: row.entry.clone(),
        domain: row.domain.clone(),
        address: row.address,
    };
    let mut addresses: Vec<_> = view.live().map(address).collect();
    addresses.sort();
    addresses
}

async fn remove_expired(presence: &Presence, view: &PresenceView) {
    for (entry, revision) in view.expired() {
        // Fails if another entry has removed the row or its owner has renewed it.
        let _ = presence.remove(entry, revision).await;
    }
}
