//! Text tables.

use std::fmt;

use comfy_table::CellAlignment;
use comfy_table::presets::ASCII_MARKDOWN;

/// A table with a header row, in Markdown syntax.
#[derive(Debug)]
pub struct Table(comfy_table::Table);

impl Table {
    /// Creates an empty table with all columns aligned left.
    #[must_use]
    pub fn of_texts(headings: &[&str]) -> Self {
        let mut table = comfy_table::Table::new();
        table.load_preset(ASCII_MARKDOWN).set_header(headings);
        Self(table)
    }

    /// Creates an empty table with the first column aligned left, for names, and the others right,
    /// for numbers.
    #[must_use]
    pub fn of_numbers(headings: &[&str]) -> Self {
        let mut table = Self::of_texts(headings);
        for column in table.0.column_iter_mut().skip(1) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        table
    }

    /// Adds a row; one cell for each heading.
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
