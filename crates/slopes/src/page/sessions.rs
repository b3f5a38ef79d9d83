//! Effect of the number of entries and of sessions per agent on the idle renewal interval and the
//! load of an entry.

use super::text::Table;
use super::text::format_figure;
use super::text::format_mebibytes;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const ENTRIES: [f64; 3] = [24.0, 48.0, 96.0];
const SESSIONS_PER_AGENT: [f64; 4] = [4.0, 8.0, 16.0, 48.0];
/// Number of targets of a service that few instances offer. With few sessions per agent an entry
/// may have a session to none of them.
const SMALL_SERVICE_TARGETS: i32 = 11;

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
    let session_memory_bytes = slopes.fit(SlopeName::EntrySessionMemoryBytes)?.slope;
    for entries in ENTRIES {
        for sessions_per_agent in SESSIONS_PER_AGENT {
            let sizes = Sizes {
                entries,
                sessions_per_agent: sessions_per_agent.min(entries),
                ..sizes.clone()
            };
            let sessions = sizes.sessions_per_entry();
            let interval_s = sizes.idle_interval_s(renewal_bytes);
            let unreached_ratio = 1.0 - sizes.sessions_per_agent / entries;
            table.row(&[
                format_figure(entries),
                format_figure(sizes.sessions_per_agent),
                format_figure(sessions),
                format_figure(interval_s),
                format_figure(sessions * renewal_bytes / interval_s),
                format_figure(sizes.sessions_per_agent * renewal_bytes / interval_s),
                format_mebibytes(sessions * session_memory_bytes),
                format_figure(sizes.tasks_per_s / entries),
                format_figure(100.0 * unreached_ratio.powi(SMALL_SERVICE_TARGETS)),
            ]);
        }
    }
    Ok(table.into_text())
}

impl Sizes {
    /// Mean interval between idle renewals, in seconds. An entry computes it as if it had a session
    /// to every target of the inventory, so the interval does not depend on how many sessions are
    /// open.
    pub(super) fn idle_interval_s(&self, renewal_bytes: f64) -> f64 {
        let budget_interval_s = self.agents * renewal_bytes / self.max_renewal_bytes_per_s;
        budget_interval_s.max(self.min_idle_interval_s)
    }
}
