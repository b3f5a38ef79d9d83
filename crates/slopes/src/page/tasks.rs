//! Task traffic at the peak.

use super::text::Table;
use super::text::figure;
use super::text::mebibytes;
use crate::Sizes;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

pub(super) fn table(slopes: &Slopes, sizes: &Sizes) -> Result<String, SlopesError> {
    let columns = [
        "role",
        "tasks/s",
        "as single requests, cores",
        "in jobs, cores",
        "as single requests, KB/s",
        "in jobs, KB/s",
        "open tasks for 1 s each, MiB",
    ];
    let mut table = Table::new("Task traffic at the peak", &columns);
    let slope = |name| slopes.fit(name).map(|fit| fit.slope);
    let cores = |rate: f64, cost_us: f64| figure(rate * cost_us / 1e6);
    let kilobytes = |rate: f64, bytes: f64| figure(rate * bytes / 1e3);
    let (request, job) = (
        slope(SlopeName::RequestBytes)?,
        slope(SlopeName::JobTaskBytes)?,
    );
    let of_entry = sizes.tasks_per_s / sizes.entries;
    let open = of_entry * sizes.open_task_s * slope(SlopeName::EntryOpenTaskMemoryBytes)?;
    table.row(&[
        "entry: `policy::entry`, `entry::connection`".to_owned(),
        figure(of_entry),
        cores(of_entry, slope(SlopeName::EntryRequestUs)?),
        cores(of_entry, slope(SlopeName::EntryJobTaskUs)?),
        kilobytes(of_entry, request),
        kilobytes(of_entry, job),
        mebibytes(open),
    ]);
    let of_agent = sizes.tasks_per_s / sizes.agents;
    table.row(&[
        "agent: `policy::agent`, `agent::connection`".to_owned(),
        figure(of_agent),
        cores(of_agent, slope(SlopeName::AgentRequestUs)?),
        cores(of_agent, slope(SlopeName::AgentJobTaskUs)?),
        kilobytes(of_agent, request),
        kilobytes(of_agent, job),
        "not measured".to_owned(),
    ]);
    Ok(table.into_text())
}
