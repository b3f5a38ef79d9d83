//! HTTP connections of callers and operators.

use std::time::Duration;

use axum::Router;
use axum::response::IntoResponse;
use dfs_conf::EntryLimits;
use dfs_ids::Millis;
use dfs_listen::Limits;
use dfs_listen::Overflow;
use dfs_listen::RequestBudget;
use dfs_listen::StreamLimits;
use dfs_log::Listener;
use dfs_wire::api::FailureReason;
use tokio::net::TcpListener;

use crate::process::Lifecycle;
use crate::process::Phase;
use crate::request::Refusal;

const OVERLOAD_RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// Serves callers until the process is in [`Phase::Closed`], then waits for the requests in
/// progress.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: EntryLimits,
    budget: RequestBudget,
    lifecycle: Lifecycle,
) {
    let limits = Limits {
        listener: Listener::Callers,
        max_connections: limits.max_connections as usize,
        overflow: Overflow::Refuse(refusal_router(&limits)),
        max_headers: limits.max_headers as usize,
        max_head_bytes: limits.max_head_bytes as usize,
        stream: StreamLimits {
            head_timeout: Duration::from(limits.body_timeout_ms),
            idle_timeout: Duration::from(limits.idle_timeout_ms),
            write_timeout: Some(Duration::from(limits.write_timeout_ms)),
            max_head_bytes: None,
        },
    };
    let closed = lifecycle.wait_for(Phase::Closed);
    dfs_listen::serve(listener, router, limits, budget, closed).await;
}

/// Answers every request with the refusal for too many connections.
fn refusal_router(limits: &EntryLimits) -> Router {
    let message = format!(
        "this entry has {} connections, which is its limit: try later or another entry",
        limits.max_connections
    );
    let refusal = move || {
        let refusal = Refusal::new(FailureReason::Overloaded, message.clone());
        std::future::ready(refusal.retry_after(OVERLOAD_RETRY_AFTER_MS).into_response())
    };
    Router::new().fallback(refusal)
}
