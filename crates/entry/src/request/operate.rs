//! Handlers of operator requests.

use std::sync::Arc;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use dfs_conf::Identity;
use dfs_listen::Account;
use dfs_wire::api::ApplyAnswer;
use dfs_wire::api::ConfigAnswer;
use dfs_wire::api::ConfigError;
use dfs_wire::api::FailureReason;
use serde_json::json;
use tokio::sync::oneshot;

use super::body;
use super::refuse::Refusal;
use super::routes::ApiState;
use crate::process::Command;
use crate::version::apply;

/// Operator name that is logged for the first configuration.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// `GET /v1/config`.
pub(super) async fn show_config(
    State(state): State<Arc<ApiState>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    authenticate_operator(&state, &headers)?;
    let Some(config) = state.active_config.current() else {
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
    State(state): State<Arc<ApiState>>,
    Extension(account): Extension<Account>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let operator = authenticate_operator(&state, &headers)?;
    let received = body::read_json(&state.limits, &account, body).await?;
    let (request, _held) = (received.value, received.held);
    Ok(
        match apply(&state.config_store, &state.active_config, operator, request).await {
            Ok(version) => Json(ApplyAnswer { version }).into_response(),
            Err(error) => (config_error_status(&error), Json(error)).into_response(),
        },
    )
}

const fn config_error_status(error: &ConfigError) -> StatusCode {
    match error {
        ConfigError::Conflict { .. } => StatusCode::CONFLICT,
        ConfigError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ConfigError::StoreUnavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ConfigError::Forbidden => StatusCode::FORBIDDEN,
    }
}

/// `GET /v1/status`.
pub(super) async fn show_status(
    State(state): State<Arc<ApiState>>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    authenticate_operator(&state, &headers)?;
    let (reply, status) = oneshot::channel();
    state.core.send(Command::Status(reply));
    let Ok(mut status) = status.await else {
        return Err(Refusal::new(
            FailureReason::NotReady,
            "this entry is about to stop",
        ));
    };
    status.config_age_ms = state.active_config.age_ms();
    status.ready = status.ready && state.lifecycle.is_serving();
    Ok(Json(status).into_response())
}

/// Returns the name of the operator whose token the request carries.
///
/// No operators are known before the first configuration. The session secret serves as the token
/// then, so that the first configuration can be applied.
fn authenticate_operator(state: &ApiState, headers: &HeaderMap) -> Result<String, Refusal> {
    let token = body::bearer_token(headers)?;
    if state.active_config.current().is_none() {
        if state.is_bootstrap_token(token) {
            return Ok(BOOTSTRAP_OPERATOR.to_owned());
        }
        return Err(Refusal::no_config());
    }
    match state.active_config.token_owner(token) {
        Some(Identity::Operator(operator)) => Ok(operator),
        Some(Identity::Group(_)) | None => Err(Refusal::new(
            FailureReason::Forbidden,
            "the token is not an operator's",
        )),
    }
}
