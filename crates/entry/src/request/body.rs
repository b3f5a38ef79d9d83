//! Reads request bodies within limits of size and time, and bearer tokens.

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use dfs_conf::EntryLimits;
use dfs_wire::api::FailureReason;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use serde::de::DeserializeOwned;

use super::refuse::Refusal;

const BEARER: &str = "Bearer ";

/// Reads and parses a JSON body of at most `max_body_bytes` within `body_timeout_ms`.
pub(super) async fn read_json<T: DeserializeOwned>(
    limits: &EntryLimits,
    body: Body,
) -> Result<T, Refusal> {
    let limited = Limited::new(body, limits.max_body_bytes as usize);
    let collected = tokio::time::timeout(limits.body_timeout_ms.into(), limited.collect()).await;
    let Ok(collected) = collected else {
        let message = format!("the body did not arrive within {}", limits.body_timeout_ms);
        return Err(Refusal::new(FailureReason::BodyTimeout, message));
    };
    let bytes = collected
        .map_err(|error| body_refusal(limits, &*error))?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| {
        Refusal::new(
            FailureReason::BadRequest,
            format!("the body is not valid: {error}"),
        )
    })
}

fn body_refusal(limits: &EntryLimits, error: &(dyn std::error::Error + 'static)) -> Refusal {
    if error.is::<LengthLimitError>() {
        let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
        return Refusal::new(FailureReason::TooLarge, message);
    }
    Refusal::new(
        FailureReason::BadRequest,
        format!("the body ends early: {error}"),
    )
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
