//! Cost of task traffic at the peak rate.

use super::text::Table;
use super::text::format_figure;
use super::text::format_mebibytes;
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
    let cores = |rate: f64, cost_us: f64| format_figure(rate * cost_us / 1e6);
    let kilobytes = |rate: f64, bytes: f64| format_figure(rate * bytes / 1e3);
    let (request_bytes, job_task_bytes) = (
        slope(SlopeName::RequestBytes)?,
        slope(SlopeName::JobTaskBytes)?,
    );
    let per_entry = sizes.tasks_per_s / sizes.entries;
    let open_bytes = per_entry * sizes.task_open_s * slope(SlopeName::EntryOpenTaskMemoryBytes)?;
    table.row(&[
        "entry: `policy::entry`, `entry::connection`".to_owned(),
        format_figure(per_entry),
        cores(per_entry, slope(SlopeName::EntryRequestUs)?),
        cores(per_entry, slope(SlopeName::EntryJobTaskUs)?),
        kilobytes(per_entry, request_bytes),
        kilobytes(per_entry, job_task_bytes),
        format_mebibytes(open_bytes),
    ]);
    let per_agent = sizes.tasks_per_s / sizes.agents;
    table.row(&[
        "agent: `policy::agent`, `agent::connection`".to_owned(),
        format_figure(per_agent),
        cores(per_agent, slope(SlopeName::AgentRequestUs)?),
        cores(per_agent, slope(SlopeName::AgentJobTaskUs)?),
        kilobytes(per_agent, request_bytes),
        kilobytes(per_agent, job_task_bytes),
        "not measured".to_owned(),
    ]);
    Ok(table.into_text())
}
