//! What happens to the figures when much fails at once.

use super::text::Table;
use super::text::figure;
use super::text::mebibytes;
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
    let attach = slopes.fit(SlopeName::AttachBytes)?.slope;
    let attach_us = slopes.fit(SlopeName::AttachUs)?.slope;
    let session = slopes.fit(SlopeName::EntrySessionMemoryBytes)?.slope;
    for (event, sizes, opened) in events(sizes) {
        let sessions = sizes.sessions_per_entry();
        let list = sizes.entries * sizes.entry_address_bytes;
        table.row(&[
            event.to_owned(),
            figure(sessions),
            figure(opened),
            figure(opened * (attach + list) / 1e3),
            figure(opened * attach_us / 1e6),
            mebibytes(sessions * session),
            figure(sizes.tasks_per_s / sizes.entries),
        ]);
    }
    Ok(table.into_text())
}

/// The sizes after each event, and the sessions that a remaining entry has to open for it.
fn events(sizes: &Sizes) -> [(&'static str, Sizes, f64); 4] {
    let normal = sizes.sessions_per_entry();
    let rest = 1.0 - 1.0 / sizes.domains;
    let domain = Sizes {
        agents: sizes.agents * rest,
        entries: sizes.entries * rest,
        ..sizes.clone()
    };
    // Each remaining agent replaces the sessions that it had with entries of the domain.
    let moved = domain.sessions_per_entry() / sizes.domains;
    let region = Sizes {
        agents: sizes.agents / REGIONS,
        entries: sizes.entries / REGIONS,
        tasks_per_s: sizes.tasks_per_s / REGIONS,
        ..sizes.clone()
    };
    [
        ("none", sizes.clone(), 0.0),
        ("a failure domain dies, its load stays", domain, moved),
        ("all entries restart at once", sizes.clone(), normal),
        (
            "regions lose each other, load splits; then meet again",
            region,
            normal * (1.0 - 1.0 / REGIONS),
        ),
    ]
}
