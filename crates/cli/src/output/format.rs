//! The choice of form.

use clap::ValueEnum;

/// Form of the result on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text for a reader.
    Table,
    /// One JSON document.
    Json,
}
