//! Validates a document locally, without sending it.

use std::path::Path;

use serde_json::Value;

use super::ConfigFailure;
use super::document::Document;
use crate::cli::CheckArgs;
use crate::error::Error;
use crate::exit::Exit;
use crate::input;
use crate::output;

/// Runs `inventory check` or `rules check`.
pub fn run(document: Document, args: &CheckArgs) -> Result<Exit, Error> {
    read(document, &args.file)?;
    let path = args.file.display();
    output::print(&format!("{path}: valid {document}"))?;
    Ok(Exit::Success)
}

/// Reads and validates a document; prints warnings on standard error.
///
/// A document with faults is an error that lists all of them.
pub fn read(document: Document, path: &Path) -> Result<Value, Error> {
    let value: Value = input::read_json(path)?;
    let warnings = document
        .check(&value)
        .map_err(|faults| ConfigFailure::InvalidFile {
            path: path.to_owned(),
            document,
            faults,
        })?;
    for warning in warnings {
        eprintln!("warning: {warning}");
    }
    Ok(value)
}
