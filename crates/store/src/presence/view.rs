//! Which entries are live, judged by one reader's own clock.

use std::collections::BTreeMap;

use dfs_ids::EntryId;
use dfs_ids::Moment;

use super::PresenceRow;
use crate::Revision;
use crate::Row;

/// What one reader has seen of the presence rows.
///
/// A row is expired once successive reads have shown the same revision for its lease. So no clocks
/// of two machines are compared, and nothing expires while the table service cannot be read.
#[derive(Debug, Default)]
pub struct PresenceView {
    entries: BTreeMap<EntryId, Seen>,
    last_read: Option<Moment>,
}

#[derive(Debug)]
struct Seen {
    row: PresenceRow,
    revision: Revision,
    /// First read that showed this revision.
    since: Moment,
}

impl PresenceView {
    /// Takes the rows of one read made at `now`; malformed ones are left out.
    pub fn observe(&mut self, rows: &[Row], now: Moment) {
        let last_read = self.last_read.replace(now);
        let before = std::mem::take(&mut self.entries);
        for row in rows {
            let Ok(content) = row.parse::<PresenceRow>() else {
                continue;
            };
            // After a gap as long as a lease the entry may not have been able to renew either.
            let gap = last_read.is_none_or(|last| now.since(last) >= content.lease_ms);
            let since = before
                .get(&content.entry)
                .filter(|seen| seen.revision == row.revision && !gap)
                .map_or(now, |seen| seen.since);
            let seen = Seen {
                row: content,
                revision: row.revision,
                since,
            };
            self.entries.insert(seen.row.entry.clone(), seen);
        }
    }

    /// Entries whose rows are not expired.
    pub fn live(&self) -> impl Iterator<Item = &PresenceRow> {
        self.split(false).map(|seen| &seen.row)
    }

    /// Entries whose rows are expired, with the revision to remove.
    pub fn expired(&self) -> impl Iterator<Item = (&EntryId, Revision)> {
        self.split(true)
            .map(|seen| (&seen.row.entry, seen.revision))
    }

    fn split(&self, expired: bool) -> impl Iterator<Item = &Seen> {
        let last_read = self.last_read.unwrap_or_default();
        self.entries
            .values()
            .filter(move |seen| (last_read.since(seen.since) >= seen.row.lease_ms) == expired)
    }
}
