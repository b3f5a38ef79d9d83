//! Load on the remaining entries after correlated failures.

use super::text::Table;
use super::text::format_figure;
use super::text::format_mebibytes;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

const REGIONS: f64 = 3.0;

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let columns = [
        "event",
        "sessions of an entry",
        "sessions opened at an entry",
        "bytes for that at an entry, KB",
        "processor for that at an entry, s",
        "sessions' memory, MiB",
        "tasks/s at an entry",
    ];
    let mut table = Table::new("When much fails at once", &columns);
    let attach_bytes = slopes.fit(SlopeName::AttachBytes)?.slope;
    let attach_us = slopes.fit(SlopeName::AttachUs)?.slope;
    let session_memory_bytes = slopes.fit(SlopeName::EntrySessionMemoryBytes)?.slope;
    for (event, sizes, opened) in events(sizes) {
        let sessions = sizes.sessions_per_entry();
        let entry_list_bytes = sizes.entries * sizes.entry_address_bytes;
        table.row(&[
            event.to_owned(),
            format_figure(sessions),
            format_figure(opened),
            format_figure(opened * (attach_bytes + entry_list_bytes) / 1e3),
            format_figure(opened * attach_us / 1e6),
            format_mebibytes(sessions * session_memory_bytes),
            format_figure(sizes.tasks_per_s / sizes.entries),
        ]);
    }
    Ok(table.into_text())
}

/// Each event with the sizes that remain after it, and the number of sessions that a remaining
/// entry has to open because of it.
fn events(sizes: &Sizes) -> [(&'static str, Sizes, f64); 4] {
    let initial_sessions = sizes.sessions_per_entry();
    let remaining_ratio = 1.0 - 1.0 / sizes.domains;
    let after_domain_failure = Sizes {
        agents: sizes.agents * remaining_ratio,
        entries: sizes.entries * remaining_ratio,
        ..sizes.clone()
    };
    // Each remaining agent opens a new session for every one that it had to an entry of the failed
    // domain.
    let reopened = after_domain_failure.sessions_per_entry() / sizes.domains;
    let after_region_split = Sizes {
        agents: sizes.agents / REGIONS,
        entries: sizes.entries / REGIONS,
        tasks_per_s: sizes.tasks_per_s / REGIONS,
        ..sizes.clone()
    };
    [
        ("none", sizes.clone(), 0.0),
        (
            "a failure domain dies, its load stays",
            after_domain_failure,
            reopened,
        ),
        (
            "all entries restart at once",
            sizes.clone(),
            initial_sessions,
        ),
        (
            "regions lose each other, load splits; then meet again",
            after_region_split,
            initial_sessions * (1.0 - 1.0 / REGIONS),
        ),
    ]
}
