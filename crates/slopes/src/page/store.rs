//! What all entries together ask of the platform's store.

use super::control::store_bytes;
use super::text::Table;
use super::text::figure;
use super::text::verdict;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let columns = ["what", "carried by", "reads/s", "writes/s", "bytes/s"];
    let mut table = Table::new("Platform's store, all entries together", &columns);
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let polls = sizes.entries * slope(SlopeName::EntryReads)?;
    let renewals = sizes.entries * slope(SlopeName::EntryWrites)?;
    let changes = sizes.changes_per_s();
    let groups = slopes.fit(SlopeName::GroupBytes)?;
    let whole_bytes = groups.intercept + groups.slope * sizes.groups;
    // Every entry reads the rows since its version once.
    let spread = changes * sizes.entries;
    let replaced =
        sizes.replaced_per_day / 86_400.0 * sizes.entries / (sizes.entries + sizes.agents);
    let (start_reads, start_writes) = (
        slope(SlopeName::StartReads)?,
        slope(SlopeName::StartWrites)?,
    );
    let committed = changes * slope(SlopeName::ChangeWrites)?;
    let rows = [
        (
            "polls of the head, presence",
            "`entry::version::poll`, `entry::process::presence`",
            (
                polls,
                renewals,
                sizes.entries * store_bytes(slopes, sizes.entries)?,
            ),
        ),
        (
            "changes, written whole once",
            "`store::config`",
            (
                changes * slope(SlopeName::ChangeReads)?,
                committed,
                changes * whole_bytes,
            ),
        ),
        (
            "changes, read by every entry",
            "`entry::version::poll`",
            (spread, 0.0, spread * slope(SlopeName::ChangeStoreBytes)?),
        ),
        (
            "replaced entries",
            "`entry::process::start`",
            (
                replaced * start_reads,
                replaced * start_writes,
                replaced * whole_bytes,
            ),
        ),
        ("agents", "none: they never ask the store", (0.0, 0.0, 0.0)),
    ];
    let (mut reads, mut writes) = (0.0, 0.0);
    for (what, carried_by, (r, w, b)) in rows {
        reads += r;
        writes += w;
        let cells = [
            what.to_owned(),
            carried_by.to_owned(),
            figure(r),
            figure(w),
            figure(b),
        ];
        table.row(&cells);
    }
    table.row(&[
        "sum against the limit",
        "",
        &format!(
            "{}: {}",
            figure(reads),
            verdict(reads, sizes.limit_reads_per_s)
        ),
        &format!(
            "{}: {}",
            figure(writes),
            verdict(writes, sizes.limit_writes_per_s)
        ),
        "",
    ]);
    Ok(table.into_text())
}
