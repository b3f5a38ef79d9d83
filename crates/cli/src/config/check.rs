//! Checks a document without sending it.

use std::path::Path;

use serde_json::Value;
use snafu::ensure;

use super::document::Document;
use super::error::InvalidFileSnafu;
use crate::cli::CheckArgs;
use crate::error::Error;
use crate::exit::Exit;
use crate::input;
use crate::output;

/// Runs `inventory check` or `rules check`.
pub fn run(document: Document, args: &CheckArgs) -> Result<Exit, Error> {
    read(document, &args.file)?;
    let path = args.file.display();
    output::print(&format!("{path} is a valid {document}"))?;
    Ok(Exit::Success)
}

/// Reads a document that has no fault.
pub fn read(document: Document, path: &Path) -> Result<Value, Error> {
    let value: Value = input::read_json(path)?;
    let faults = document.faults(&value);
    ensure!(
        faults.is_empty(),
        InvalidFileSnafu {
            path,
            document,
            faults
        }
    );
    Ok(value)
}
