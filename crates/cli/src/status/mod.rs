//! `status`: the merged view of all given entries.

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

use self::merge::MergedStatus;

pub use fetch::fetch_all;

const STATUS_TIMEOUT: Millis = Millis::new(5_000);

/// What `status` prints; serialized for `--output json`.
#[derive(Debug, Serialize)]
struct View {
    /// Merged status of the entries that replied.
    #[serde(flatten)]
    merged: MergedStatus,
    /// Errors of the entries that did not return a status.
    missing: Vec<String>,
}

/// Runs `status`.
///
/// Prints a partial view if some entries fail; the exit code is then that of the first failure.
pub async fn run(args: StatusArgs) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, STATUS_TIMEOUT);
    let mut statuses = Vec::new();
    let mut failures: Vec<CallError> = Vec::new();
    for (_, result) in fetch_all(&client, &options.entries).await {
        match result {
            Ok(status) => statuses.push(status),
            Err(error) => failures.push(error),
        }
    }
    // Without any status there is nothing to print, so the first failure is the result.
    if statuses.is_empty() {
        return Err(failures.swap_remove(0).into());
    }
    let view = View {
        merged: merge::merge(statuses),
        missing: failures.iter().map(ToString::to_string).collect(),
    };
    match args.output.output {
        Format::Json => output::print_json(&view)?,
        Format::Table => output::print(&table::render(&view))?,
    }
    Ok(failures.first().map_or(Exit::Success, CallError::exit))
}
