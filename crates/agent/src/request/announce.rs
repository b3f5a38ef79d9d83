//! Announcements, heartbeats and the goodbye of the target.

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use dfs_policy::agent::AgentEvent;
use dfs_wire::target::Announcement;

use crate::process::CoreHandle;

/// Largest announcement.
const MAX_BODY_BYTES: usize = 64 << 10;

pub(crate) fn router(core: CoreHandle) -> Router {
    Router::new()
        .route("/v1/target/announce", post(announce))
        .route("/v1/target/goodbye", post(goodbye))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(core)
}

async fn announce(
    State(core): State<CoreHandle>,
    Json(announcement): Json<Announcement>,
) -> StatusCode {
    let offer = &announcement.offer;
    if offer.slots.get() == 0 || offer.connections == 0 || offer.services.is_empty() {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    core.event(AgentEvent::Announced(announcement));
    StatusCode::NO_CONTENT
}

async fn goodbye(State(core): State<CoreHandle>) -> StatusCode {
    core.event(AgentEvent::Goodbye);
    StatusCode::NO_CONTENT
}
