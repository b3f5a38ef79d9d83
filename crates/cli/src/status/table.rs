//! Formats the merged view as tables.

use std::fmt::Display;

use dfs_ids::ServiceName;

use super::View;
use super::merge::EntrySummary;
use super::merge::TargetSummary;
use crate::output::Table;

/// Formats the errors of missing entries, then one table each for entries, failure domains, groups
/// and targets.
pub fn render(view: &View) -> String {
    let merged = &view.merged;
    let missing = view.missing.iter().map(|error| format!("missing: {error}"));
    let mut parts: Vec<String> = missing.collect();
    parts.push(entries(&merged.entries).to_string());
    parts.push(domains(view).to_string());
    parts.push(groups(view).to_string());
    parts.push(targets(&merged.targets).to_string());
    parts.join("\n\n")
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn entries(entries: &[EntrySummary]) -> Table {
    let mut table = Table::of_numbers(&[
        "entry",
        "failure domain",
        "version",
        "confirmed ago",
        "ready",
        "open",
        "messages",
        "tasks settled",
    ]);
    for entry in entries {
        table.row([
            entry.entry.to_string(),
            entry.domain.to_string(),
            or_dash(entry.version),
            or_dash(entry.config_age_ms),
            yes_no(entry.ready),
            entry.open_submissions.to_string(),
            entry.session_messages.to_string(),
            entry.tasks_settled.to_string(),
        ]);
    }
    table
}

fn domains(view: &View) -> Table {
    let mut table = Table::of_numbers(&[
        "failure domain",
        "lowest version",
        "highest version",
        "processes",
    ]);
    for domain in &view.merged.domains {
        table.row([
            domain.domain.to_string(),
            domain.lowest.to_string(),
            domain.highest.to_string(),
            domain.processes.to_string(),
        ]);
    }
    table
}

fn groups(view: &View) -> Table {
    let mut table = Table::of_numbers(&["group", "share", "queued", "placed", "busy ms"]);
    for group in &view.merged.groups {
        table.row([
            group.group.to_string(),
            group.share.to_string(),
            group.queued.to_string(),
            group.placed.to_string(),
            group.busy_ms.to_string(),
        ]);
    }
    table
}

fn targets(targets: &[TargetSummary]) -> Table {
    let mut table = Table::of_numbers(&[
        "target",
        "agent",
        "failure domain",
        "services",
        "slots",
        "placed",
        "ejected by",
        "version",
        "silent",
        "sessions",
    ]);
    for summary in targets {
        let target = &summary.target;
        let services: Vec<&str> = target.services.iter().map(ServiceName::as_str).collect();
        table.row([
            or_dash(target.target.as_ref()),
            target.agent.to_string(),
            target.domain.to_string(),
            services.join(" "),
            target.slots.to_string(),
            target.placed.to_string(),
            summary.ejected_by.to_string(),
            or_dash(target.version),
            target.silent_ms.to_string(),
            summary.sessions.to_string(),
        ]);
    }
    table
}
