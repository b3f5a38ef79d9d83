//! Control on one node, apart from tasks.

use super::text::Table;
use super::text::figure;
use super::text::mebibytes;
use super::text::verdict;
use crate::Fit;
use crate::Point;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

/// What one mechanism takes.
#[derive(Debug, Clone, Default)]
pub(super) struct Line {
    what: &'static str,
    carried_by: &'static str,
    bytes_per_s: f64,
    processor_us: f64,
    memory_bytes: f64,
}

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let entry = role("Control at an entry", &entry(slopes, sizes)?, sizes);
    let agent = role("Control at an agent", &agent(slopes, sizes)?, sizes);
    Ok(format!("{entry}\n{agent}"))
}

fn role(heading: &str, lines: &[Line], sizes: &Sizes) -> String {
    let columns = [
        "what",
        "carried by",
        "bytes/s",
        "processor, µs/s",
        "memory, MiB",
    ];
    let mut table = Table::new(heading, &columns);
    for line in lines {
        table.row(&[
            line.what.to_owned(),
            line.carried_by.to_owned(),
            figure(line.bytes_per_s),
            figure(line.processor_us),
            mebibytes(line.memory_bytes),
        ]);
    }
    let sum = |part: fn(&Line) -> f64| lines.iter().map(part).sum::<f64>();
    let bytes = sum(|line| line.bytes_per_s);
    let processor = sum(|line| line.processor_us);
    let memory = sum(|line| line.memory_bytes);
    table.row(&[
        "sum".to_owned(),
        String::new(),
        figure(bytes),
        figure(processor),
        mebibytes(memory),
    ]);
    table.row(&[
        "limit".to_owned(),
        String::new(),
        figure(sizes.limit_bytes_per_s),
        figure(sizes.limit_control_us),
        mebibytes(sizes.limit_memory_bytes),
    ]);
    table.row(&[
        String::new(),
        String::new(),
        verdict(bytes, sizes.limit_bytes_per_s).to_owned(),
        verdict(processor, sizes.limit_control_us).to_owned(),
        verdict(memory, sizes.limit_memory_bytes).to_owned(),
    ]);
    table.into_text()
}

fn entry(slopes: &Slopes, sizes: &Sizes) -> Result<Vec<Line>, SlopesError> {
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let sessions = sizes.sessions_per_entry();
    let changes = sizes.changes_per_s();
    let renewal_bytes = slope(SlopeName::RenewalBytes)?;
    let renewals = sessions / sizes.idle_interval_s(renewal_bytes);
    let session = slopes.fit(SlopeName::EntrySessionMemoryBytes)?;
    let group = slopes.fit(SlopeName::EntryGroupMemoryBytes)?;
    let whole_bytes = slopes.fit(SlopeName::GroupBytes)?;
    let whole_bytes = whole_bytes.intercept + whole_bytes.slope * sizes.groups;
    let per_change = slopes.fit(SlopeName::EntryChangeAgentUs)?;
    Ok(vec![
        Line {
            what: "process, ticks included",
            carried_by: "`entry::process::core`",
            processor_us: slopes.fit(SlopeName::EntrySessionUs)?.intercept,
            memory_bytes: session.intercept,
            ..Line::default()
        },
        Line {
            what: "idle sessions",
            carried_by: "`policy::entry::session`",
            bytes_per_s: renewals * renewal_bytes,
            processor_us: renewals * slope(SlopeName::EntryRenewalUs)?,
            memory_bytes: sessions * session.slope,
        },
        Line {
            what: "polls of the head, presence",
            carried_by: "`entry::version::poll`, `entry::process::presence`",
            bytes_per_s: store_bytes(slopes, sizes.entries)?,
            ..Line::default()
        },
        Line {
            what: "configuration in force",
            carried_by: "`entry::version::holder`",
            memory_bytes: group.intercept + group.slope * sizes.groups - session.intercept,
            ..Line::default()
        },
        Line {
            what: "differences kept for agents that lag",
            carried_by: "`entry::version::holder`",
            memory_bytes: sizes.kept_versions * slope(SlopeName::KeptVersionMemoryBytes)?,
            ..Line::default()
        },
        Line {
            what: "change read from the store",
            carried_by: "`entry::version::poll`, `store::config`",
            bytes_per_s: changes * slope(SlopeName::ChangeStoreBytes)?,
            processor_us: changes * per_change.intercept.max(0.0),
            ..Line::default()
        },
        Line {
            what: "its part of the changes accepted and written whole",
            carried_by: "`entry::version::apply`, `store::config`",
            bytes_per_s: changes / sizes.entries * whole_bytes,
            ..Line::default()
        },
        Line {
            what: "change told to agents",
            carried_by: "`entry::version::holder`, `conf::diff`",
            bytes_per_s: changes * sizes.agents_per_entry() * slope(SlopeName::ChangeBytes)?,
            processor_us: changes * sizes.agents_per_entry() * per_change.slope,
            ..Line::default()
        },
        Line {
            what: "metrics",
            carried_by: "`log::metrics`",
            bytes_per_s: sizes.metrics_bytes_per_s,
            memory_bytes: sizes.metrics_memory_bytes,
            ..Line::default()
        },
    ])
}

fn agent(slopes: &Slopes, sizes: &Sizes) -> Result<Vec<Line>, SlopesError> {
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let renewal_bytes = slope(SlopeName::RenewalBytes)?;
    let renewals = sizes.sessions_per_agent / sizes.idle_interval_s(renewal_bytes);
    let group = slopes.fit(SlopeName::AgentGroupMemoryBytes)?;
    let process = slopes.fit(SlopeName::AgentSessionUs)?;
    let memory = slopes.fit(SlopeName::AgentSessionMemoryBytes)?;
    Ok(vec![
        Line {
            what: "process, ticks included",
            carried_by: "`agent::process::core`",
            processor_us: process.intercept,
            memory_bytes: memory.intercept,
            ..Line::default()
        },
        Line {
            what: "idle sessions",
            carried_by: "`policy::agent::report`",
            bytes_per_s: renewals * renewal_bytes,
            processor_us: renewals * slope(SlopeName::AgentRenewalUs)?,
            memory_bytes: sizes.sessions_per_agent * memory.slope,
        },
        Line {
            what: "configuration in force",
            carried_by: "`agent::process::version`",
            memory_bytes: group.intercept + group.slope * sizes.groups - memory.intercept,
            ..Line::default()
        },
        Line {
            what: "changes, as differences",
            carried_by: "`conf::diff`",
            bytes_per_s: sizes.changes_per_s() * slope(SlopeName::ChangeBytes)?,
            processor_us: sizes.changes_per_s() * slope(SlopeName::AgentChangeUs)?,
            ..Line::default()
        },
        Line {
            what: "metrics",
            carried_by: "`log::metrics`",
            bytes_per_s: sizes.metrics_bytes_per_s,
            ..Line::default()
        },
    ])
}

/// Bytes a second between one entry and the store. Each entry reads the presence rows of all, so
/// the line is fitted through the bytes of one entry.
pub(super) fn store_bytes(slopes: &Slopes, entries: f64) -> Result<f64, SlopesError> {
    let name = SlopeName::EntryStoreBytes;
    let slope = slopes.slopes.get(&name);
    let slope = slope.ok_or(SlopesError::MissingSlope { name })?;
    let of_one = slope.points.iter().map(|p| Point { y: p.y / p.x, ..*p });
    let fit = Fit::of(&of_one.collect::<Vec<_>>());
    Ok(fit.intercept + fit.slope * entries)
}
