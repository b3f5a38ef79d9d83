//! Tables of text.

use std::fmt;

use comfy_table::CellAlignment;
use comfy_table::presets::ASCII_MARKDOWN;

/// A table with a heading.
#[derive(Debug)]
pub struct Table(comfy_table::Table);

impl Table {
    /// An empty table of texts, aligned left.
    #[must_use]
    pub fn of_texts(headings: &[&str]) -> Self {
        let mut table = comfy_table::Table::new();
        table.load_preset(ASCII_MARKDOWN).set_header(headings);
        Self(table)
    }

    /// An empty table of names and numbers; only its first column is aligned left.
    #[must_use]
    pub fn of_numbers(headings: &[&str]) -> Self {
        let mut table = Self::of_texts(headings);
        for column in table.0.column_iter_mut().skip(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        table
    }

    /// Adds a row.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator<Item = String>,
    {
        self.0.add_row(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}
