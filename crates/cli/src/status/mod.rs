//! What the entries see, one by one and merged.

mod fetch;
mod merge;
mod table;

use dfs_ids::Millis;
use serde::Serialize;

use crate::cli::StatusArgs;
use crate::client::CallError;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::EntryOptions;
use crate::output;
use crate::output::Format;

use self::merge::Merged;

pub use fetch::fetch_all;

const STATUS_TIMEOUT: Millis = Millis::new(5_000);

/// The merged view and what is missing from it.
#[derive(Debug, Serialize)]
struct View {
    /// What the entries that answered see together.
    #[serde(flatten)]
    merged: Merged,
    /// Entries that gave no status, and why.
    missing: Vec<String>,
}

/// Runs `status`.
pub async fn run(args: StatusArgs) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, STATUS_TIMEOUT);
    let mut seen = Vec::new();
    let mut failures: Vec<CallError> = Vec::new();
    for (_, status) in fetch_all(&client, &options.entries).await {
        match status {
            Ok(status) => seen.push(status),
            Err(error) => failures.push(error),
        }
    }
    // A view without a single entry shows nothing, so the failure is all there is to tell.
    if seen.is_empty() {
        return Err(failures.swap_remove(0).into());
    }
    let view = View {
        merged: merge::merge(seen),
        missing: failures.iter().map(ToString::to_string).collect(),
    };
    match args.output.output {
        Format::Json => output::print_json(&view)?,
        Format::Table => output::print(&table::render(&view))?,
    }
    Ok(failures.first().map_or(Exit::Success, CallError::exit))
}
