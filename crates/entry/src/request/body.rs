//! Reads request bodies within limits of size, time and memory, and bearer tokens.

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use dfs_conf::EntryLimits;
use dfs_ids::Millis;
use dfs_listen::Account;
use dfs_listen::BodyError;
use dfs_listen::HeldBytes;
use dfs_wire::api::FailureReason;
use serde::de::DeserializeOwned;

use super::refuse::Refusal;

const BEARER: &str = "Bearer ";
/// Memory of a small element of a list: its text, two pointers to it, and the state of a task.
const ELEMENT_BYTES: u64 = 256;
const OVERLOAD_RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// A decoded body, with the memory that it holds until it is dropped.
pub(super) struct Received<T> {
    pub value: T,
    pub held: HeldBytes,
}

/// Reads and parses a JSON body of at most `max_body_bytes` within `body_timeout_ms`.
pub(super) async fn read_json<T: DeserializeOwned>(
    limits: &EntryLimits,
    account: &Account,
    body: Body,
) -> Result<Received<T>, Refusal> {
    let (max_bytes, timeout) = (limits.max_body_bytes as usize, limits.body_timeout_ms);
    let bytes = dfs_listen::read_body(account, body, max_bytes, timeout.into())
        .await
        .map_err(|error| body_refusal(limits, &error))?;
    // A body that decodes to more than the whole budget is admitted alone.
    let decoded_bytes = decoded_bytes(&bytes).min(account.max_held_bytes());
    let held = account
        .hold(decoded_bytes)
        .map_err(|error| overload(&error))?;
    let value = serde_json::from_slice(&bytes).map_err(|error| {
        Refusal::new(
            FailureReason::BadRequest,
            format!("the body is not valid: {error}"),
        )
    })?;
    Ok(Received { value, held })
}

/// Memory that a body may take up while it is decoded and executed: its text twice, and each element of a list on its
/// own, which is most where the elements are small.
fn decoded_bytes(body: &[u8]) -> u64 {
    let elements = body.split(|byte| *byte == b',').count() as u64;
    2 * body.len() as u64 + elements * ELEMENT_BYTES
}

fn overload(error: &dyn std::error::Error) -> Refusal {
    let refusal = Refusal::new(FailureReason::Overloaded, error.to_string());
    refusal.retry_after(OVERLOAD_RETRY_AFTER_MS)
}

fn body_refusal(limits: &EntryLimits, error: &BodyError) -> Refusal {
    let (reason, message) = match error {
        BodyError::TimedOut => {
            let message = format!("the body did not arrive within {}", limits.body_timeout_ms);
            (FailureReason::BodyTimeout, message)
        }
        BodyError::TooLarge => {
            let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
            (FailureReason::TooLarge, message)
        }
        BodyError::Broken(error) => {
            let message = format!("the body ends early: {error}");
            (FailureReason::BadRequest, message)
        }
        BodyError::Evicted => return overload(error),
    };
    Refusal::new(reason, message)
}

/// Extracts the bearer token from the `Authorization` header.
pub(super) fn bearer_token(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    value
        .and_then(|value| value.strip_prefix(BEARER))
        .ok_or_else(|| {
            let message = "the request needs the header `Authorization: Bearer <token>`";
            Refusal::new(FailureReason::UnknownToken, message)
        })
}
