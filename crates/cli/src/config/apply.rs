//! Replaces a document by a compare-and-set on the head version.

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

/// Wait before the second try; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// An accepted change.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Version that it became.
    version: ConfigVersion,
    /// Its id.
    change: ChangeId,
}

/// What one try told about the change.
enum Verdict {
    /// Accepted or refused for good.
    Settled(Result<ConfigVersion, ConfigFailure>),
    /// It may have been accepted; the same change id finds out.
    Open(String),
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
    let apply = body(document, value, change, base);
    let version = settle(&client, &options.entries, &apply, args.tries).await?;
    print(args.output.output, version, apply.change)
}

fn body(document: Document, value: Value, change: ChangeId, base: ConfigVersion) -> ApplyConfig {
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

/// Sends the change until its fate is known; a change id is idempotent, so it may be sent again.
async fn settle(
    client: &Client,
    entries: &[SocketAddr],
    apply: &ApplyConfig,
    tries: u32,
) -> Result<ConfigVersion, Error> {
    let call = Call::post(head::CONFIG_PATH, apply).context(RenderSnafu)?;
    let mut entries = entries.to_vec();
    let mut wait = FIRST_WAIT;
    let mut last = try_once(client, &entries, &call, apply).await?;
    for _ in 1..tries {
        if let Verdict::Settled(result) = last {
            return Ok(result?);
        }
        tokio::time::sleep(wait).await;
        wait = (wait * 2).min(LONGEST_WAIT);
        entries.rotate_left(1);
        last = match try_once(client, &entries, &call, apply).await {
            Ok(verdict) => verdict,
            // An earlier try may have been accepted, so this failure does not settle it.
            Err(error) => Verdict::Open(error.to_string()),
        };
    }
    match last {
        Verdict::Settled(result) => Ok(result?),
        Verdict::Open(reason) => Err(unsettled(apply, reason).into()),
    }
}

fn unsettled(apply: &ApplyConfig, reason: String) -> ConfigFailure {
    ConfigFailure::Unsettled {
        change: apply.change.clone(),
        base: apply.base,
        reason,
    }
}

async fn try_once(
    client: &Client,
    entries: &[SocketAddr],
    call: &Call,
    apply: &ApplyConfig,
) -> Result<Verdict, CallError> {
    match client.send_to_first(entries, call).await {
        Ok(reply) => verdict(&reply, apply),
        Err(error) => open_or_failed(error),
    }
}

fn open_or_failed(error: CallError) -> Result<Verdict, CallError> {
    match error {
        CallError::ReplyLost { .. } | CallError::Timeout { .. } | CallError::Unexpected { .. } => {
            Ok(Verdict::Open(error.to_string()))
        }
        error => Err(error),
    }
}

fn verdict(reply: &Reply, apply: &ApplyConfig) -> Result<Verdict, CallError> {
    if reply.status.is_success() {
        return match reply.parse::<ApplyAnswer>() {
            Ok(accepted) => Ok(Verdict::Settled(Ok(accepted.version))),
            Err(error) => open_or_failed(error),
        };
    }
    match reply.parse() {
        Ok(error) => Ok(refusal(error, apply)),
        Err(_) => open_or_failed(reply.refusal()),
    }
}

fn refusal(error: ConfigError, apply: &ApplyConfig) -> Verdict {
    match error {
        // This very change won: an earlier try of it was accepted.
        ConfigError::Conflict {
            winner,
            winner_change,
        } if winner_change == apply.change => Verdict::Settled(Ok(winner)),
        ConfigError::Conflict {
            winner,
            winner_change,
        } => Verdict::Settled(Err(ConfigFailure::Conflict {
            base: apply.base,
            winner,
            winner_change,
        })),
        ConfigError::Invalid { faults } => {
            Verdict::Settled(Err(ConfigFailure::InvalidChange { faults }))
        }
        ConfigError::StoreUnavailable { message } => Verdict::Open(message),
        ConfigError::Forbidden => Verdict::Settled(Err(ConfigFailure::NotOperator)),
    }
}
