//! Cost of the control plane on one entry and on one agent, without task traffic.

use super::text::Table;
use super::text::format_figure;
use super::text::format_mebibytes;
use super::text::verdict;
use crate::Fit;
use crate::Point;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

/// Cost of one mechanism on one node: a row of the table.
#[derive(Debug, Clone, Default)]
pub(super) struct Cost {
    mechanism: &'static str,
    component: &'static str,
    bytes_per_s: f64,
    cpu_us_per_s: f64,
    memory_bytes: f64,
}

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let entry = role_table("Control at an entry", &entry_costs(slopes, sizes)?, sizes);
    let agent = role_table("Control at an agent", &agent_costs(slopes, sizes)?, sizes);
    Ok(format!("{entry}\n{agent}"))
}

fn role_table(heading: &str, costs: &[Cost], sizes: &Sizes) -> String {
    let columns = [
        "what",
        "carried by",
        "bytes/s",
        "processor, µs/s",
        "memory, MiB",
    ];
    let mut table = Table::new(heading, &columns);
    for cost in costs {
        table.row(&[
            cost.mechanism.to_owned(),
            cost.component.to_owned(),
            format_figure(cost.bytes_per_s),
            format_figure(cost.cpu_us_per_s),
            format_mebibytes(cost.memory_bytes),
        ]);
    }
    let sum = |field: fn(&Cost) -> f64| costs.iter().map(field).sum::<f64>();
    let bytes = sum(|cost| cost.bytes_per_s);
    let cpu = sum(|cost| cost.cpu_us_per_s);
    let memory = sum(|cost| cost.memory_bytes);
    table.row(&[
        "sum".to_owned(),
        String::new(),
        format_figure(bytes),
        format_figure(cpu),
        format_mebibytes(memory),
    ]);
    table.row(&[
        "limit".to_owned(),
        String::new(),
        format_figure(sizes.limit_bytes_per_s),
        format_figure(sizes.limit_cpu_us_per_s),
        format_mebibytes(sizes.limit_memory_bytes),
    ]);
    table.row(&[
        String::new(),
        String::new(),
        verdict(bytes, sizes.limit_bytes_per_s).to_owned(),
        verdict(cpu, sizes.limit_cpu_us_per_s).to_owned(),
        verdict(memory, sizes.limit_memory_bytes).to_owned(),
    ]);
    table.into_text()
}

fn entry_costs(slopes: &Slopes, sizes: &Sizes) -> Result<Vec<Cost>, SlopesError> {
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let sessions = sizes.sessions_per_entry();
    let changes_per_s = sizes.changes_per_s();
    let renewal_bytes = slope(SlopeName::RenewalBytes)?;
    let renewals_per_s = sessions / sizes.idle_interval_s(renewal_bytes);
    let session_memory = slopes.fit(SlopeName::EntrySessionMemoryBytes)?;
    let group_memory = slopes.fit(SlopeName::EntryGroupMemoryBytes)?;
    let group_bytes = slopes.fit(SlopeName::GroupBytes)?;
    let config_bytes = group_bytes.intercept + group_bytes.slope * sizes.groups;
    let change_cpu = slopes.fit(SlopeName::EntryChangeAgentUs)?;
    Ok(vec![
        Cost {
            mechanism: "process, ticks included",
            component: "`entry::process::core`",
            cpu_us_per_s: slopes.fit(SlopeName::EntrySessionUs)?.intercept,
            memory_bytes: session_memory.intercept,
            ..Cost::default()
        },
        Cost {
            mechanism: "idle sessions",
            component: "`policy::entry::session`",
            bytes_per_s: renewals_per_s * renewal_bytes,
            cpu_us_per_s: renewals_per_s * slope(SlopeName::EntryRenewalUs)?,
            memory_bytes: sessions * session_memory.slope,
        },
        Cost {
            mechanism: "polls of the head, presence",
            component: "`entry::version::poll`, `entry::process::presence`",
            bytes_per_s: store_bytes_per_s(slopes, sizes.entries)?,
            ..Cost::default()
        },
        Cost {
            mechanism: "configuration in force",
            component: "`entry::version::holder`",
            memory_bytes: group_memory.intercept + group_memory.slope * sizes.groups
                - session_memory.intercept,
            ..Cost::default()
        },
        Cost {
            mechanism: "differences kept for agents that lag",
            component: "`entry::version::holder`",
            memory_bytes: sizes.kept_versions * slope(SlopeName::KeptVersionMemoryBytes)?,
            ..Cost::default()
        },
        Cost {
            mechanism: "change read from the store",
            component: "`entry::version::poll`, `store::config`",
            bytes_per_s: changes_per_s * slope(SlopeName::ChangeStoreBytes)?,
            cpu_us_per_s: changes_per_s * change_cpu.intercept.max(0.0),
            ..Cost::default()
        },
        Cost {
            mechanism: "its part of the changes accepted and written whole",
            component: "`entry::version::apply`, `store::config`",
            bytes_per_s: changes_per_s / sizes.entries * config_bytes,
            ..Cost::default()
        },
        Cost {
            mechanism: "change told to agents",
            component: "`entry::version::holder`, `conf::diff`",
            bytes_per_s: changes_per_s * sizes.agents_per_entry() * slope(SlopeName::ChangeBytes)?,
            cpu_us_per_s: changes_per_s * sizes.agents_per_entry() * change_cpu.slope,
            ..Cost::default()
        },
        Cost {
            mechanism: "metrics",
            component: "`log::metrics`",
            bytes_per_s: sizes.metrics_bytes_per_s,
            memory_bytes: sizes.metrics_memory_bytes,
            ..Cost::default()
        },
    ])
}

fn agent_costs(slopes: &Slopes, sizes: &Sizes) -> Result<Vec<Cost>, SlopesError> {
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let renewal_bytes = slope(SlopeName::RenewalBytes)?;
    let renewals_per_s = sizes.sessions_per_agent / sizes.idle_interval_s(renewal_bytes);
    let group_memory = slopes.fit(SlopeName::AgentGroupMemoryBytes)?;
    let session_cpu = slopes.fit(SlopeName::AgentSessionUs)?;
    let session_memory = slopes.fit(SlopeName::AgentSessionMemoryBytes)?;
    Ok(vec![
        Cost {
            mechanism: "process, ticks included",
            component: "`agent::process::core`",
            cpu_us_per_s: session_cpu.intercept,
            memory_bytes: session_memory.intercept,
            ..Cost::default()
        },
        Cost {
            mechanism: "idle sessions",
            component: "`policy::agent::report`",
            bytes_per_s: renewals_per_s * renewal_bytes,
            cpu_us_per_s: renewals_per_s * slope(SlopeName::AgentRenewalUs)?,
            memory_bytes: sizes.sessions_per_agent * session_memory.slope,
        },
        Cost {
            mechanism: "configuration in force",
            component: "`agent::process::version`",
            memory_bytes: group_memory.intercept + group_memory.slope * sizes.groups
                - session_memory.intercept,
            ..Cost::default()
        },
        Cost {
            mechanism: "changes, as differences",
            component: "`conf::diff`",
            bytes_per_s: sizes.changes_per_s() * slope(SlopeName::ChangeBytes)?,
            cpu_us_per_s: sizes.changes_per_s() * slope(SlopeName::AgentChangeUs)?,
            ..Cost::default()
        },
        Cost {
            mechanism: "metrics",
            component: "`log::metrics`",
            bytes_per_s: sizes.metrics_bytes_per_s,
            ..Cost::default()
        },
    ])
}

/// Bytes per second between one entry and the store. Each entry reads the presence rows of all
/// entries, so the total grows with the square of their number and the traffic per entry is linear
/// in it; the line is therefore fitted through the traffic per entry.
pub(super) fn store_bytes_per_s(slopes: &Slopes, entries: f64) -> Result<f64, SlopesError> {
    let name = SlopeName::EntryStoreBytes;
    let slope = slopes.slopes.get(&name);
    let slope = slope.ok_or(SlopesError::MissingSlope { name })?;
    let per_entry = slope.points.iter().map(|p| Point { y: p.y / p.x, ..*p });
    let fit = Fit::of(&per_entry.collect::<Vec<_>>());
    Ok(fit.intercept + fit.slope * entries)
}
