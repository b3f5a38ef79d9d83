//! Load of all entries together on the platform's store.

use super::control::store_bytes_per_s;
use super::text::Table;
use super::text::format_figure;
use super::text::verdict;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let columns = ["what", "carried by", "reads/s", "writes/s", "bytes/s"];
    let mut table = Table::new("Platform's store, all entries together", &columns);
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let idle_reads = sizes.entries * slope(SlopeName::EntryReads)?;
    let idle_writes = sizes.entries * slope(SlopeName::EntryWrites)?;
    let changes = sizes.changes_per_s();
    let group_bytes = slopes.fit(SlopeName::GroupBytes)?;
    let config_bytes = group_bytes.intercept + group_bytes.slope * sizes.groups;
    // After each change every entry reads the rows newer than its own version once.
    let change_reads = changes * sizes.entries;
    let entry_starts =
        sizes.replacements_per_day / 86_400.0 * sizes.entries / (sizes.entries + sizes.agents);
    let (start_reads, start_writes) = (
        slope(SlopeName::StartReads)?,
        slope(SlopeName::StartWrites)?,
    );
    let change_writes = changes * slope(SlopeName::ChangeWrites)?;
    let rows = [
        (
            "polls of the head, presence",
            "`entry::version::poll`, `entry::process::presence`",
            (
                idle_reads,
                idle_writes,
                sizes.entries * store_bytes_per_s(slopes, sizes.entries)?,
            ),
        ),
        (
            "changes, written whole once",
            "`store::config`",
            (
                changes * slope(SlopeName::ChangeReads)?,
                change_writes,
                changes * config_bytes,
            ),
        ),
        (
            "changes, read by every entry",
            "`entry::version::poll`",
            (
                change_reads,
                0.0,
                change_reads * slope(SlopeName::ChangeStoreBytes)?,
            ),
        ),
        (
            "replaced entries",
            "`entry::process::start`",
            (
                entry_starts * start_reads,
                entry_starts * start_writes,
                entry_starts * config_bytes,
            ),
        ),
        ("agents", "none: they never ask the store", (0.0, 0.0, 0.0)),
    ];
    let (mut total_reads, mut total_writes) = (0.0, 0.0);
    for (mechanism, component, (reads_per_s, writes_per_s, bytes_per_s)) in rows {
        total_reads += reads_per_s;
        total_writes += writes_per_s;
        let cells = [
            mechanism.to_owned(),
            component.to_owned(),
            format_figure(reads_per_s),
            format_figure(writes_per_s),
            format_figure(bytes_per_s),
        ];
        table.row(&cells);
    }
    table.row(&[
        "sum against the limit",
        "",
        &format!(
            "{}: {}",
            format_figure(total_reads),
            verdict(total_reads, sizes.limit_reads_per_s)
        ),
        &format!(
            "{}: {}",
            format_figure(total_writes),
            verdict(total_writes, sizes.limit_writes_per_s)
        ),
        "",
    ]);
    Ok(table.into_text())
}
