//! Determines which entries are live, by the reader's own clock.

use std::collections::BTreeMap;

use dfs_ids::EntryId;
use dfs_ids::Moment;

use super::PresenceRow;
use super::presence_key;
use crate::Revision;
use crate::Row;
use crate::RowKey;
use crate::StoreError;

/// One reader's view of the presence rows.
///
/// A row is expired once successive reads have shown the same revision for the duration of its
/// lease. Thus the clocks of two machines are never compared, and nothing expires while the table
/// service cannot be read.
#[derive(Debug, Default)]
pub struct PresenceView {
    entries: BTreeMap<EntryId, ObservedRow>,
    /// Malformed rows of the last read.
    malformed: BTreeMap<RowKey, Revision>,
    last_read: Option<Moment>,
}

#[derive(Debug)]
struct ObservedRow {
    row: PresenceRow,
    revision: Revision,
    /// Time of the first read that showed this revision, restarted after a gap between reads.
    unchanged_since: Moment,
}

impl PresenceView {
    /// Updates the view with all rows of one read, made at `now`. Malformed rows are ignored; the errors of those that
    /// the last read did not show are returned.
    pub fn observe(&mut self, rows: &[Row], now: Moment) -> Vec<StoreError> {
        let last_read = self.last_read.replace(now);
        let mut previous = std::mem::take(&mut self.entries);
        let reported = std::mem::take(&mut self.malformed);
        let mut errors = Vec::new();
        for row in rows {
            let content = match PresenceRow::parse(row) {
                Ok(content) => content,
                Err(error) => {
                    self.malformed.insert(row.key.clone(), row.revision);
                    // Another program has overwritten the row of an entry, which expires unless it renews it.
                    let overwritten =
                        previous.extract_if(.., |entry, _| presence_key(entry) == row.key);
                    self.entries.extend(overwritten);
                    if reported.get(&row.key) != Some(&row.revision) {
                        errors.push(error);
                    }
                    continue;
                }
            };
            // A gap between reads that is as long as the lease suggests an outage of the table
            // service, in which the entry may not have been able to renew its row either.
            let is_after_gap = last_read.is_none_or(|last| now.since(last) >= content.lease_ms);
            let unchanged_since = previous
                .get(&content.entry)
                .filter(|observed| observed.revision == row.revision && !is_after_gap)
                .map_or(now, |observed| observed.unchanged_since);
            let observed = ObservedRow {
                row: content,
                revision: row.revision,
                unchanged_since,
            };
            self.entries.insert(observed.row.entry.clone(), observed);
        }
        errors
    }

    /// Rows that were not expired at the last read.
    pub fn live(&self) -> impl Iterator<Item = &PresenceRow> {
        self.filter_expired(false).map(|observed| &observed.row)
    }

    /// Entries whose rows were expired at the last read, with the revision to pass to
    /// [`Presence::remove`](super::Presence::remove).
    pub fn expired(&self) -> impl Iterator<Item = (&EntryId, Revision)> {
        self.filter_expired(true)
            .map(|observed| (&observed.row.entry, observed.revision))
    }

    fn filter_expired(&self, is_expired: bool) -> impl Iterator<Item = &ObservedRow> {
        let last_read = self.last_read.unwrap_or_default();
        self.entries.values().filter(move |observed| {
            (last_read.since(observed.unchanged_since) >= observed.row.lease_ms) == is_expired
        })
    }
}
