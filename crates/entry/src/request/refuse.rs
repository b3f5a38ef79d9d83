//! Answers to requests that are refused before they reach the core.

use axum::Json;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use dfs_ids::Millis;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use dfs_wire::api::FailureReason;
use dfs_wire::api::Outcome;

/// `Retry-After` of an entry that has no configuration yet.
const STARTUP_RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// A refused request, of which nothing has run.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub reason: FailureReason,
    pub message: String,
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    pub fn new(reason: FailureReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The refusal of an entry without a configuration, which knows no groups and operators yet.
    pub fn no_config() -> Self {
        let message = "this entry holds no configuration yet: try another one";
        Self::new(FailureReason::NotReady, message).retry_after(STARTUP_RETRY_AFTER_MS)
    }

    pub fn retry_after(self, after: Millis) -> Self {
        Self {
            retry_after_ms: Some(after),
            ..self
        }
    }

    pub fn into_answer(self) -> Answer {
        Answer {
            submission: None,
            outcome: Outcome::Failed,
            results: Vec::new(),
            failure: Some(Failure {
                reason: self.reason,
                message: self.message,
                not_run: true,
                may_have_run: Vec::new(),
                faults: Vec::new(),
                retry_after_ms: self.retry_after_ms,
            }),
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        respond(&self.into_answer())
    }
}

/// Converts an answer to its HTTP response.
pub(crate) fn respond(answer: &Answer) -> Response {
    let failure = answer.failure.as_ref();
    let status = failure.map_or(200, |failure| failure.reason.http_status());
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, Json(answer)).into_response();
    if let Some(after) = failure.and_then(|failure| failure.retry_after_ms) {
        let seconds = after.ceil_seconds();
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
