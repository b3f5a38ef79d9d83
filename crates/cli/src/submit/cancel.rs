//! `job cancel`: cancels a submission by its name.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use crate::cli::JobCancelArgs;
use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::EntryOptions;
use crate::output;

const CANCEL_TIMEOUT: Millis = Millis::new(10_000);

/// Runs `job cancel`.
pub async fn run(args: JobCancelArgs) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, CANCEL_TIMEOUT);
    cancel_at_any(&client, &options.entries, &args.submission).await?;
    output::print(&format!("cancelled {}", args.submission))?;
    Ok(Exit::Success)
}

/// Asks the entries in turn until one of them cancels the submission.
///
/// Only the entry that holds the submission can cancel it; cancellation is idempotent, so it may be
/// sent to every entry. If all fail, the first failure other than "unknown submission" is returned,
/// since that entry may hold the submission.
pub async fn cancel_at_any(
    client: &Client,
    entries: &[SocketAddr],
    submission: &SubmissionId,
) -> Result<(), CallError> {
    let call = Call::delete(format!("/v1/jobs/{submission}"));
    let mut failures = Vec::new();
    for entry in entries {
        match cancel(client, *entry, &call).await {
            Ok(()) => return Ok(()),
            Err(failure) => failures.push(failure),
        }
    }
    let reported = failures.iter().position(|f| !is_unknown(f)).unwrap_or(0);
    Err(failures.swap_remove(reported))
}

async fn cancel(client: &Client, entry: SocketAddr, call: &Call) -> Result<(), CallError> {
    let reply = client.send(entry, call).await?;
    if reply.status.is_success() {
        Ok(())
    } else {
        Err(reply.refusal())
    }
}

fn is_unknown(error: &CallError) -> bool {
    let CallError::Refused { failure, .. } = error else {
        return false;
    };
    failure.reason == FailureReason::UnknownSubmission
}
