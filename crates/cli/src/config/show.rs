//! Prints the document that is in force.

use super::document::Document;
use super::head;
use crate::cli::ShowArgs;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::EntryOptions;
use crate::output;

/// Runs `inventory show` or `rules show`.
///
/// The version goes to standard error, so that standard output is a document that can be edited and
/// applied again.
pub async fn run(document: Document, args: ShowArgs) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, head::OPERATOR_TIMEOUT);
    let config = head::read(&client, &options.entries).await?;
    eprintln!("version {}", config.version);
    output::print_json(&document.of(config))?;
    Ok(Exit::Success)
}
