//! Reads the configuration that is in force at an entry.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::api::ConfigAnswer;
use dfs_wire::api::ConfigError;
use dfs_wire::api::FailureReason;

use super::ConfigFailure;
use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::client::Reply;
use crate::error::Error;

/// Time-out of the calls of commands without a time-out option: `show` and `diff`.
pub const OPERATOR_TIMEOUT: Millis = Millis::new(10_000);

/// HTTP path of the configuration: `GET` reads it, `POST` applies a change.
pub const CONFIG_PATH: &str = "/v1/config";

/// Reads the configuration from the first entry that accepts a connection.
pub async fn read(client: &Client, entries: &[SocketAddr]) -> Result<ConfigAnswer, Error> {
    let reply = client
        .send_to_first(entries, &Call::get(CONFIG_PATH))
        .await?;
    if is_forbidden(&reply) {
        return Err(ConfigFailure::NotOperator.into());
    }
    reply.accept().map_err(no_config)
}

fn no_config(error: CallError) -> Error {
    match error {
        CallError::Refused { entry, failure } if failure.reason == FailureReason::NotReady => {
            let message = failure.message;
            ConfigFailure::NoConfig { entry, message }.into()
        }
        error => error.into(),
    }
}

fn is_forbidden(reply: &Reply) -> bool {
    matches!(reply.parse(), Ok(ConfigError::Forbidden))
}
