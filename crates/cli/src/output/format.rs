//! The value of `--output`.

use clap::ValueEnum;

/// Format of the result on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text tables.
    Table,
    /// One JSON document.
    Json,
}
