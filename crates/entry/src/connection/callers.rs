//! HTTP connections of callers and operators.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::response::IntoResponse;
use dfs_conf::EntryLimits;
use dfs_ids::Millis;
use dfs_wire::api::FailureReason;
use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::timer::InputFirstTimer;
use crate::process::Lifecycle;
use crate::process::Phase;
use crate::request::Refusal;

/// Number of connections over the limit that are answered with a refusal at the same time; any
/// further one is closed unanswered.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Time within which a connection over the limit must have sent its request and been answered.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed `accept`, for example when no file descriptor is free, so that the loop
/// does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const OVERLOAD_RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// Serves callers until the process is in [`Phase::Closed`], then waits for the requests in
/// progress.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: EntryLimits,
    lifecycle: Lifecycle,
) {
    let graceful = GracefulShutdown::new();
    let connection_permits = Arc::new(Semaphore::new(limits.max_connections as usize));
    let refusal_permits = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    let refusal_router = refusal_router(&limits);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = lifecycle.wait_for(Phase::Closed) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without the option answers only arrive later.
        let _ = stream.set_nodelay(true);
        if let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() {
            serve_connection(stream, router.clone(), &limits, &graceful, permit);
        } else if let Ok(permit) = Arc::clone(&refusal_permits).try_acquire_owned() {
            refuse_connection(stream, refusal_router.clone(), &limits, permit);
        }
    }
    graceful.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: &EntryLimits,
    graceful: &GracefulShutdown,
    permit: OwnedSemaphorePermit,
) {
    let service = TowerToHyperService::new(router);
    let connection = http_builder(limits).serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A broken connection concerns only its own caller.
        let _ = connection.await;
        drop(permit);
    });
}

fn refuse_connection(
    stream: TcpStream,
    refusal_router: Router,
    limits: &EntryLimits,
    permit: OwnedSemaphorePermit,
) {
    let service = TowerToHyperService::new(refusal_router);
    let connection = http_builder(limits)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        // On a timeout the connection is closed unanswered.
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
        drop(permit);
    });
}

fn http_builder(limits: &EntryLimits) -> Builder {
    let mut builder = Builder::new();
    builder
        .timer(InputFirstTimer)
        .header_read_timeout(Duration::from(limits.body_timeout_ms))
        .max_headers(limits.max_headers as usize);
    builder
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
