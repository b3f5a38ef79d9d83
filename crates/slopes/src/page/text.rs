//! Layout of tables and figures.

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
        // Writing to a string does not fail.
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    pub fn into_text(self) -> String {
        self.text
    }
}

/// Three significant digits, or whole if it is larger.
pub(super) fn figure(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.2}"),
        0.0 => "0".to_owned(),
        _ => format!("{value:.4}"),
    }
}

pub(super) fn mebibytes(bytes: f64) -> String {
    figure(bytes / 1_048_576.0)
}

/// A figure against its limit.
pub(super) fn verdict(value: f64, limit: f64) -> &'static str {
    if value <= limit { "kept" } else { "**missed**" }
}
