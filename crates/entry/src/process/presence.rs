//! The entry's presence row, and the list of entries that agents may dial.

use std::time::Duration;

use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_policy::entry::EntryEvent;
use dfs_store::Presence;
use dfs_store::PresenceRow;
use dfs_store::PresenceView;
use dfs_wire::session::EntryAddress;

use super::CoreHandle;

/// Time after which an entry that renews its row no more is taken for gone.
pub(super) const PRESENCE_LEASE_MS: Millis = Millis::new(30_000);
/// Time between two renewals, a third of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Time until the second renewal, so that entries started together learn of each other.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);

/// Renews the row and reads the others, for as long as the process lives.
pub(super) async fn keep(presence: Presence, row: PresenceRow, clock: Clock, core: CoreHandle) {
    let mut view = PresenceView::default();
    let mut interval = FIRST_INTERVAL;
    loop {
        // A failed renewal is made up for by the next one; agents know this entry meanwhile.
        let _ = presence.renew(&row).await;
        if let Ok(rows) = presence.list().await {
            view.observe(&rows, clock.now());
            core.event(EntryEvent::EntriesChanged(addresses(&view)));
            remove_expired(&presence, &view).await;
        }
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(RENEW_INTERVAL);
    }
}

fn addresses(view: &PresenceView) -> Vec<EntryAddress> {
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
        // Another entry may have removed it, or its owner may be back.
        let _ = presence.remove(entry, revision).await;
    }
}
