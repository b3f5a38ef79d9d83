//! Cancels a submission by its name.

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
    everywhere(&client, &options.entries, &args.submission).await?;
    output::print(&format!("cancelled {}", args.submission))?;
    Ok(Exit::Success)
}

/// Asks one entry after the other until one of them cancels the submission.
///
/// A cancellation is idempotent, so it may go to every entry. The first failure other than
/// "unknown submission" is returned, since the entry behind it may hold the submission.
pub async fn everywhere(
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
    let telling = failures.iter().position(|f| !is_unknown(f)).unwrap_or(0);
    Err(failures.swap_remove(telling))
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
