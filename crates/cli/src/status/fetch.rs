//! Fetches the status of entries.

use std::net::SocketAddr;

use dfs_wire::api::ConfigError;
use dfs_wire::api::EntryStatus;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use futures::future;

use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::client::Reply;

/// Fetches the status of all entries concurrently; the results are in the order of the addresses.
pub async fn fetch_all(
    client: &Client,
    entries: &[SocketAddr],
) -> Vec<(SocketAddr, Result<EntryStatus, CallError>)> {
    let calls = entries
        .iter()
        .map(async |entry| (*entry, fetch(client, *entry).await));
    future::join_all(calls).await
}

async fn fetch(client: &Client, entry: SocketAddr) -> Result<EntryStatus, CallError> {
    let reply = client.send(entry, &Call::get("/v1/status")).await?;
    if matches!(reply.parse(), Ok(ConfigError::Forbidden)) {
        return Err(forbidden(&reply));
    }
    reply.accept()
}

fn forbidden(reply: &Reply) -> CallError {
    CallError::Refused {
        entry: reply.entry,
        failure: Box::new(Failure {
            reason: FailureReason::Forbidden,
            message: "the token is not an operator's".to_owned(),
            not_run: true,
            may_have_run: Vec::new(),
            faults: Vec::new(),
            retry_after_ms: None,
        }),
    }
}
