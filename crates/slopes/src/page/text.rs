//! Formatting of tables and numbers.

use std::fmt::Write;

/// A Markdown table under a heading.
pub(super) struct Table {
    text: String,
}

impl Table {
    pub fn new(heading: &str, columns: &[&str]) -> Self {
        let mut table = Self {
            text: format!("### {heading}\n\n"),
        };
        table.row(columns);
        table.row(&vec!["---"; columns.len()]);
        table
    }

    pub fn row(&mut self, cells: &[impl AsRef<str>]) {
        let cells: Vec<_> = cells.iter().map(AsRef::as_ref).collect();
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    pub fn into_text(self) -> String {
        self.text
    }
}

/// Formats with three significant digits, or as an integer from 100 on.
pub(super) fn format_figure(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.2}"),
        0.0 => "0".to_owned(),
        _ => format!("{value:.4}"),
    }
}

pub(super) fn format_mebibytes(bytes: f64) -> String {
    format_figure(bytes / 1_048_576.0)
}

/// Says whether a value keeps to its limit, as a table cell.
pub(super) fn verdict(value: f64, limit: f64) -> &'static str {
    if value <= limit { "kept" } else { "**missed**" }
}
