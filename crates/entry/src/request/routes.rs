//! Paths of the HTTP interface.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use axum::Router;
use axum::extract::State as Shared;
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
use dfs_log::Metrics;
use dfs_policy::entry::Readiness;
use dfs_store::Claimer;
use dfs_store::ConfigStore;
use tokio::sync::watch;

use super::operate;
use super::submit;
use crate::process::CoreHandle;
use crate::process::Gate;
use crate::version::Holder;

/// What every request may use.
pub(crate) struct State {
    pub core: CoreHandle,
    pub holder: Holder,
    pub gate: Gate,
    pub readiness: watch::Receiver<Readiness>,
    pub limits: EntryLimits,
    pub metrics: Metrics,
    pub incarnation: Incarnation,
    pub serial: AtomicU64,
    /// Open submissions by the name that their caller gave them.
    pub names: Mutex<HashMap<(GroupId, SubmissionId), SubmissionId>>,
}

/// What requests of the product's own interface may use besides.
#[derive(Deref)]
pub(crate) struct Native {
    #[deref]
    pub state: Arc<State>,
    pub store: ConfigStore,
    pub claimer: Claimer,
    /// Digest of the token that may apply the first configuration.
    pub bootstrap: TokenDigest,
}

pub(crate) fn router(state: Arc<Native>) -> Router {
    Router::new()
        .route("/v1/jobs", post(submit::job))
        .route("/v1/requests", post(submit::request))
        .route("/v1/jobs/{submission}", delete(submit::cancel))
        .route(
            "/v1/config",
            get(operate::show_config).post(operate::apply_config),
        )
        .route("/v1/status", get(operate::status))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(ready))
        .with_state(state)
}

impl Native {
    /// Whether the token is the session secret, which may apply the first configuration.
    pub fn is_bootstrap(&self, token: &str) -> bool {
        self.bootstrap.matches(&TokenDigest::of(token))
    }
}

async fn ready(Shared(state): Shared<Arc<Native>>) -> StatusCode {
    if state.gate.is_serving() && *state.readiness.borrow() == Readiness::Ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
