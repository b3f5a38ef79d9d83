//! Compares a file with the document in force.

mod compare;

use super::check;
use super::document::Document;
use super::head;
use crate::cli::DiffArgs;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::EntryOptions;
use crate::output;
use crate::output::Format;

/// Runs `inventory diff`.
pub async fn run(document: Document, args: DiffArgs) -> Result<Exit, Error> {
    let file = check::read(document, &args.file)?;
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, head::OPERATOR_TIMEOUT);
    let config = head::read(&client, &options.entries).await?;
    eprintln!("compared with version {}", config.version);
    let in_force = document.normalized(document.of(config));
    let differences = compare::compare(&in_force, &document.normalized(file));
    match args.output.output {
        Format::Json => output::print_json(&differences)?,
        Format::Table if differences.is_empty() => output::print("no differences")?,
        Format::Table => output::print(&compare::lines(&differences))?,
    }
    Ok(if differences.is_empty() {
        Exit::Success
    } else {
        Exit::DocumentsDiffer
    })
}
