//! Replaces a document by a compare-and-swap on the head version of the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_wire::api::ApplyAnswer;
use dfs_wire::api::ApplyConfig;
use dfs_wire::api::ConfigError;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;

use super::ConfigFailure;
use super::check;
use super::document::Document;
use super::head;
use crate::cli::ApplyArgs;
use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::client::Reply;
use crate::error::Error;
use crate::error::RenderSnafu;
use crate::exit::Exit;
use crate::options::EntryOptions;
use crate::output;
use crate::output::Format;
use crate::submit::random_id;

/// Backoff before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// JSON output for an accepted change.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Version that the change created.
    version: ConfigVersion,
    /// Id of the change, given with `--change` or drawn at random.
    change: ChangeId,
}

/// What one attempt shows about the change.
enum AttemptOutcome {
    /// Accepted, or refused for a reason that a retry does not change.
    Final(Result<ConfigVersion, ConfigFailure>),
    /// It may have been accepted, with the reason why this is not known; sending the same change id
    /// again finds out.
    Unknown(String),
}

/// Runs `inventory apply` or `rules apply`.
pub async fn run(document: Document, args: ApplyArgs) -> Result<Exit, Error> {
    let value = check::read(document, &args.file)?;
    let options = EntryOptions::try_from(args.entry)?;
    let client = Client::new(options.token, args.timeout_ms);
    let base = match args.base {
        Some(base) => base,
        None => head::read(&client, &options.entries).await?.version,
    };
    let change = args.change.unwrap_or_else(|| random_id("change"));
    let apply = request_body(document, value, change, base);
    let version = apply_with_retries(&client, &options.entries, &apply, args.tries).await?;
    print(args.output.output, version, apply.change)
}

fn request_body(
    document: Document,
    value: Value,
    change: ChangeId,
    base: ConfigVersion,
) -> ApplyConfig {
    let (inventory, rules) = match document {
        Document::Inventory => (Some(value), None),
        Document::Rules => (None, Some(value)),
    };
    ApplyConfig {
        change,
        base,
        inventory,
        rules,
    }
}

fn print(format: Format, version: ConfigVersion, change: ChangeId) -> Result<Exit, Error> {
    match format {
        Format::Table => output::print(&format!("version {version}, change {change}"))?,
        Format::Json => output::print_json(&Accepted { version, change })?,
    }
    Ok(Exit::Success)
}

/// Sends the change until its outcome is known; each attempt starts at the next entry.
///
/// Repeating is safe because entries accept each change id only once. An error of the first attempt
/// is final, as no earlier attempt can have been accepted.
async fn apply_with_retries(
    client: &Client,
    entries: &[SocketAddr],
    apply: &ApplyConfig,
    tries: u32,
) -> Result<ConfigVersion, Error> {
    let call = Call::post(head::CONFIG_PATH, apply).context(RenderSnafu)?;
    let mut entries = entries.to_vec();
    let mut backoff = INITIAL_BACKOFF;
    let mut outcome = attempt(client, &entries, &call, apply).await?;
    for _ in 1..tries {
        if let AttemptOutcome::Final(result) = outcome {
            return Ok(result?);
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        entries.rotate_left(1);
        outcome = match attempt(client, &entries, &call, apply).await {
            Ok(outcome) => outcome,
            // An earlier attempt may have been accepted, so this error is not final.
            Err(error) => AttemptOutcome::Unknown(error.to_string()),
        };
    }
    match outcome {
        AttemptOutcome::Final(result) => Ok(result?),
        AttemptOutcome::Unknown(reason) => Err(outcome_unknown(apply, reason).into()),
    }
}

fn outcome_unknown(apply: &ApplyConfig, reason: String) -> ConfigFailure {
    ConfigFailure::OutcomeUnknown {
        change: apply.change.clone(),
        base: apply.base,
        reason,
    }
}

async fn attempt(
    client: &Client,
    entries: &[SocketAddr],
    call: &Call,
    apply: &ApplyConfig,
) -> Result<AttemptOutcome, CallError> {
    match client.send_to_first(entries, call).await {
        Ok(reply) => outcome_of_reply(&reply, apply),
        Err(error) => unknown_or_error(error),
    }
}

/// Turns an error into an unknown outcome if the change may have been accepted despite it.
fn unknown_or_error(error: CallError) -> Result<AttemptOutcome, CallError> {
    match error {
        CallError::ReplyLost { .. } | CallError::Timeout { .. } | CallError::Unexpected { .. } => {
            Ok(AttemptOutcome::Unknown(error.to_string()))
        }
        error => Err(error),
    }
}

fn outcome_of_reply(reply: &Reply, apply: &ApplyConfig) -> Result<AttemptOutcome, CallError> {
    if reply.status.is_success() {
        return match reply.parse::<ApplyAnswer>() {
            Ok(accepted) => Ok(AttemptOutcome::Final(Ok(accepted.version))),
            Err(error) => unknown_or_error(error),
        };
    }
    match reply.parse() {
        Ok(error) => Ok(outcome_of_refusal(error, apply)),
        Err(_) => unknown_or_error(reply.refusal()),
    }
}

fn outcome_of_refusal(error: ConfigError, apply: &ApplyConfig) -> AttemptOutcome {
    match error {
        // The winner is this change itself: an earlier attempt was accepted and its reply was lost.
        ConfigError::Conflict {
            winner,
            winner_change,
        } if winner_change == apply.change => AttemptOutcome::Final(Ok(winner)),
        ConfigError::Conflict {
            winner,
            winner_change,
        } => AttemptOutcome::Final(Err(ConfigFailure::Conflict {
            base: apply.base,
            winner,
            winner_change,
        })),
        ConfigError::Invalid { faults } => {
            AttemptOutcome::Final(Err(ConfigFailure::InvalidChange { faults }))
        }
        ConfigError::StoreUnavailable { message } => AttemptOutcome::Unknown(message),
        ConfigError::Forbidden => AttemptOutcome::Final(Err(ConfigFailure::NotOperator)),
    }
}
