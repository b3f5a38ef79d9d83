//! Routes on which the target announces itself, sends heartbeats and withdraws its announcement.

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use dfs_wire::target::Announcement;

use crate::edge::TargetEvents;

/// Largest accepted body of an announcement.
const MAX_BODY_BYTES: usize = 64 << 10;

pub(crate) fn router(events: TargetEvents) -> Router {
    Router::new()
        .route("/v1/target/announce", post(announce))
        .route("/v1/target/goodbye", post(goodbye))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(events)
}

async fn announce(
    State(events): State<TargetEvents>,
    Json(announcement): Json<Announcement>,
) -> StatusCode {
    let offer = &announcement.offer;
    if offer.slots.get() == 0 || offer.connections == 0 || offer.services.is_empty() {
        return StatusCode::UNPROCESSABLE_ENTITY;
    }
    events.announced(announcement);
    StatusCode::NO_CONTENT
}

async fn goodbye(State(events): State<TargetEvents>) -> StatusCode {
    events.goodbye();
    StatusCode::NO_CONTENT
}
