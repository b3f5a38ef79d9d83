//! Routes of the built-in HTTP interface, and the state that its handlers share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use derive_more::Deref;
use dfs_conf::EntryLimits;
use dfs_conf::TokenDigest;
use dfs_ids::GroupId;
use dfs_ids::Incarnation;
use dfs_ids::SubmissionId;
use dfs_listen::RequestBudget;
use dfs_log::Metrics;
use dfs_policy::entry::Readiness;
use dfs_store::Claimer;
use dfs_store::ConfigStore;
use tokio::sync::watch;

use super::operate;
use super::submit;
use crate::process::CoreHandle;
use crate::process::Lifecycle;
use crate::version::ActiveConfig;

/// State shared by all requests, with the built-in HTTP interface and with that of an adapter.
pub(crate) struct SharedState {
    pub core: CoreHandle,
    pub active_config: ActiveConfig,
    pub lifecycle: Lifecycle,
    pub readiness: watch::Receiver<Readiness>,
    pub limits: EntryLimits,
    pub metrics: Metrics,
    pub budget: RequestBudget,
    pub incarnation: Incarnation,
    pub next_serial: AtomicU64,
    /// Open submissions by the group and the alias that their caller gave them.
    pub aliases: Mutex<HashMap<(GroupId, SubmissionId), SubmissionId>>,
}

/// State of the built-in HTTP interface.
#[derive(Deref)]
pub(crate) struct ApiState {
    #[deref]
    pub shared: Arc<SharedState>,
    pub config_store: ConfigStore,
    pub claimer: Claimer,
    /// Digest of the session secret, with which the first configuration may be applied.
    pub bootstrap_token: TokenDigest,
}

pub(crate) fn router(state: Arc<ApiState>) -> Router {
    Router::new()
        .route("/v1/jobs", post(submit::submit_job))
        .route("/v1/requests", post(submit::submit_request))
        .route("/v1/jobs/{submission}", delete(submit::cancel_submission))
        .route(
            "/v1/config",
            get(operate::show_config).post(operate::apply_config),
        )
        .route("/v1/status", get(operate::show_status))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(readiness))
        .with_state(state)
}

impl ApiState {
    /// Whether the token is the session secret, with which the first configuration may be applied.
    pub fn is_bootstrap_token(&self, token: &str) -> bool {
        self.bootstrap_token.matches(&TokenDigest::of(token))
    }
}

async fn readiness(State(state): State<Arc<ApiState>>) -> StatusCode {
    if state.lifecycle.is_serving() && *state.readiness.borrow() == Readiness::Ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
