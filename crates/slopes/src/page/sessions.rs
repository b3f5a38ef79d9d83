//! Entries, sessions of an agent, and the idle interval.

use super::text::Table;
use super::text::figure;
use super::text::mebibytes;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const ENTRIES: [f64; 3] = [24.0, 48.0, 96.0];
const SESSIONS_PER_AGENT: [f64; 4] = [4.0, 8.0, 16.0, 48.0];
/// Targets of a service that few instances offer.
const FEW_TARGETS: i32 = 11;

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let columns = [
        "entries",
        "sessions of an agent",
        "sessions of an entry",
        "idle interval, mean, s",
        "renewals at an entry, B/s",
        "renewals at an agent, B/s",
        "sessions' memory at an entry, MiB",
        "tasks/s at an entry",
        "entries that reach none of 11 targets, %",
    ];
    let mut table = Table::new("Entries, sessions and the idle interval", &columns);
    let renewal_bytes = slopes.fit(SlopeName::RenewalBytes)?.slope;
    let session = slopes.fit(SlopeName::EntrySessionMemoryBytes)?.slope;
    for entries in ENTRIES {
        for wanted in SESSIONS_PER_AGENT {
            let sizes = Sizes {
                entries,
                sessions_per_agent: wanted.min(entries),
                ..sizes.clone()
            };
            let sessions = sizes.sessions_per_entry();
            let interval_s = sizes.idle_interval_s(renewal_bytes);
            let unreached = 1.0 - sizes.sessions_per_agent / entries;
            table.row(&[
                figure(entries),
                figure(sizes.sessions_per_agent),
                figure(sessions),
                figure(interval_s),
                figure(sessions * renewal_bytes / interval_s),
                figure(sizes.sessions_per_agent * renewal_bytes / interval_s),
                mebibytes(sessions * session),
                figure(sizes.tasks_per_s / entries),
                figure(100.0 * unreached.powi(FEW_TARGETS)),
            ]);
        }
    }
    Ok(table.into_text())
}

impl Sizes {
    /// Mean interval of idle renewals; an entry counts a session for every target of the inventory.
    pub(super) fn idle_interval_s(&self, renewal_bytes: f64) -> f64 {
        let at_most = self.agents * renewal_bytes / self.renewal_bytes_per_s;
        at_most.max(self.min_idle_s)
    }
}
