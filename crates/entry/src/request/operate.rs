//! Requests of operators.

use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State as Shared;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use dfs_conf::Identity;
use dfs_wire::api::ApplyAnswer;
use dfs_wire::api::ConfigAnswer;
use dfs_wire::api::ConfigError;
use dfs_wire::api::FailureReason;
use serde_json::json;
use tokio::sync::oneshot;

use super::body;
use super::refuse::Refusal;
use super::routes::Native;
use crate::process::Command;
use crate::version::apply;

/// Name under which the first configuration is applied.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// `GET /v1/config`.
pub(super) async fn show_config(
    Shared(state): Shared<Arc<Native>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&state, &headers)?;
    let Some(config) = state.holder.held() else {
        return Err(Refusal::no_config());
    };
    let answer = ConfigAnswer {
        version: config.version,
        inventory: json!(config.inventory),
        rules: json!(config.rules),
    };
    Ok(Json(answer).into_response())
}

/// `POST /v1/config`.
pub(super) async fn apply_config(
    Shared(state): Shared<Arc<Native>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let operator = operator(&state, &headers)?;
    let request = body::read(&state.limits, body).await?;
    Ok(
        match apply(&state.store, &state.holder, operator, request).await {
            Ok(version) => Json(ApplyAnswer { version }).into_response(),
            Err(error) => (config_status(&error), Json(error)).into_response(),
        },
    )
}

const fn config_status(error: &ConfigError) -> StatusCode {
    match error {
        ConfigError::Conflict { .. } => StatusCode::CONFLICT,
        ConfigError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ConfigError::StoreUnavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ConfigError::Forbidden => StatusCode::FORBIDDEN,
    }
}

/// `GET /v1/status`.
pub(super) async fn status(
    Shared(state): Shared<Arc<Native>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    operator(&state, &headers)?;
    let (reply, status) = oneshot::channel();
    state.core.send(Command::Status(reply));
    let Ok(mut status) = status.await else {
        return Err(Refusal::new(
            FailureReason::NotReady,
            "this entry is about to stop",
        ));
    };
    status.config_age_ms = state.holder.age_ms();
    status.ready = status.ready && state.gate.is_serving();
    Ok(Json(status).into_response())
}

/// Name of the operator. Before the first configuration nobody is known, and whoever has the session
/// secret may apply one.
fn operator(state: &Native, headers: &HeaderMap) -> Result<String, Refusal> {
    let token = body::token(headers)?;
    if state.holder.held().is_none() {
        if state.is_bootstrap(token) {
            return Ok(BOOTSTRAP_OPERATOR.to_owned());
        }
        return Err(Refusal::no_config());
    }
    match state.holder.owner(token) {
        Some(Identity::Operator(operator)) => Ok(operator),
        Some(Identity::Group(_)) | None => Err(Refusal::new(
            FailureReason::Forbidden,
            "the token is not an operator's",
        )),
    }
}
