//! Formats the report as text tables.

use std::fmt;

use super::MessageReport;
use super::Report;
use super::ScopeReport;
use super::Summary;
use super::Throughput;
use crate::output::Table;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let sent = &self.sent;
        writeln!(
            f,
            "seed {}, {} submissions/s for {}, round trip {} µs, ended after {}\n",
            sent.seed, sent.rate_per_s, sent.duration_ms, sent.round_trip_us, self.elapsed_ms
        )?;
        writeln!(f, "{}\n", throughput_table(self))?;
        writeln!(f, "{}\n", outcome_table(self))?;
        writeln!(f, "{}\n", scope_table(self))?;
        if let Some(lag) = &self.send_lag_ms {
            writeln!(
                f,
                "sent late by {:.3} ms at p99, {:.3} ms at most",
                lag.p99, lag.max
            )?;
        }
        write!(f, "{}", self.messages)
    }
}

impl fmt::Display for MessageReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Counted(count) => write!(
                f,
                "{:.3} messages per task ({} for {} tasks)",
                count.per_task, count.messages, count.tasks_settled
            ),
            Self::Unknown(reason) => write!(f, "messages per task not known: {reason}"),
        }
    }
}

fn throughput_table(report: &Report) -> Table {
    let mut table = Table::of_numbers(&["work", "submissions", "tasks", "tasks/s", "busy slots"]);
    let mut row = |name: &str, work: &Throughput| {
        table.row([
            name.to_owned(),
            work.submissions.to_string(),
            work.tasks.to_string(),
            format!("{:.2}", work.tasks_per_s),
            format!("{:.2}", work.busy_slots),
        ]);
    };
    row("offered", &report.offered);
    row("goodput", &report.goodput);
    table
}

fn outcome_table(report: &Report) -> Table {
    let mut table = Table::of_numbers(&["outcome", "not run", "submissions", "tasks"]);
    for row in &report.outcomes {
        table.row([
            row.outcome.to_string(),
            if row.not_run { "yes" } else { "" }.to_owned(),
            row.submissions.to_string(),
            row.tasks.to_string(),
        ]);
    }
    table
}

fn scope_table(report: &Report) -> Table {
    let mut table = Table::of_numbers(&[
        "response / ideal",
        "submissions",
        "complete",
        "not run",
        "mean",
        "p50",
        "p99",
        "beyond ideal p50 ms",
        "p99 ms",
    ]);
    table.row(scope_cells("all".to_owned(), &report.overall));
    for row in &report.groups {
        table.row(scope_cells(format!("group {}", row.group), &row.scope));
    }
    for row in &report.classes {
        table.row(scope_cells(format!("class {}", row.class), &row.scope));
    }
    table
}

fn scope_cells(name: String, scope: &ScopeReport) -> [String; 9] {
    let ratio = |statistic| format_statistic(scope.ratio.as_ref(), statistic);
    let excess_ms = |statistic| format_statistic(scope.beyond_ideal_ms.as_ref(), statistic);
    [
        name,
        scope.submissions.to_string(),
        scope.complete.to_string(),
        scope.not_run.to_string(),
        ratio(|r| r.mean),
        ratio(|r| r.p50),
        ratio(|r| r.p99),
        excess_ms(|b| b.p50),
        excess_ms(|b| b.p99),
    ]
}

fn format_statistic(summary: Option<&Summary>, statistic: fn(&Summary) -> f64) -> String {
    summary.map_or("-".to_owned(), |s| format!("{:.3}", statistic(s)))
}
