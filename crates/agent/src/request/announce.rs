//! Routes on which the target announces itself, sends heartbeats and withdraws its announcement.

use std::time::Duration;

use axum::Extension;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use dfs_listen::Account;
use dfs_wire::target::Announcement;

use crate::edge::TargetEvents;

/// Largest accepted body of an announcement.
const MAX_BODY_BYTES: usize = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) fn router(events: TargetEvents) -> Router {
    Router::new()
        .route("/v1/target/announce", post(announce))
        .route("/v1/target/goodbye", post(goodbye))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .with_state(events)
}

async fn announce(
    State(events): State<TargetEvents>,
    Extension(account): Extension<Account>,
    body: Body,
) -> StatusCode {
    let body = dfs_listen::read_body(&account, body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let announcement: Announcement = match body.map(|body| serde_json::from_slice(&body)) {
        Ok(Ok(announcement)) => announcement,
        Ok(Err(error)) if error.is_data() => return StatusCode::UNPROCESSABLE_ENTITY,
        Ok(Err(_)) => return StatusCode::BAD_REQUEST,
        Err(error) => return error.status(),
    };
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
