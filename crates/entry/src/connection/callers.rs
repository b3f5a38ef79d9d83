//! Connections of callers and operators.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::response::IntoResponse;
use dfs_conf::EntryLimits;
use dfs_ids::Millis;
use dfs_wire::api::FailureReason;
use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::process::Gate;
use crate::process::Phase;
use crate::request::Refusal;

/// Connections beyond the limit that are told so at once; any further one is closed unanswered.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Longest life of a connection that is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after the system had no connection to give, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
const RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// Serves callers until the gate is closed, then lets every request in progress end.
pub(crate) async fn serve(listener: TcpListener, router: Router, limits: EntryLimits, gate: Gate) {
    let graceful = GracefulShutdown::new();
    let served = Arc::new(Semaphore::new(limits.max_connections as usize));
    let refused = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    let refusals = refusals(&limits);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gate.reached(Phase::Closed) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        // Without it answers are only later.
        let _ = stream.set_nodelay(true);
        if let Ok(permit) = Arc::clone(&served).try_acquire_owned() {
            carry(stream, router.clone(), &limits, &graceful, permit);
        } else if let Ok(permit) = Arc::clone(&refused).try_acquire_owned() {
            refuse(stream, refusals.clone(), &limits, permit);
        }
    }
    graceful.shutdown().await;
}

fn carry(
    stream: TcpStream,
    router: Router,
    limits: &EntryLimits,
    graceful: &GracefulShutdown,
    permit: OwnedSemaphorePermit,
) {
    let service = TowerToHyperService::new(router);
    let connection = http1(limits).serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that breaks its connection harms no other one.
        let _ = connection.await;
        drop(permit);
    });
}

fn refuse(stream: TcpStream, refusals: Router, limits: &EntryLimits, permit: OwnedSemaphorePermit) {
    let service = TowerToHyperService::new(refusals);
    let connection = http1(limits)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        // A caller that sends no request in time gets no answer.
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
        drop(permit);
    });
}

fn http1(limits: &EntryLimits) -> Builder {
    let mut server = Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.body_timeout_ms))
        .max_headers(limits.max_headers as usize);
    server
}

/// Answers every request with a refusal.
fn refusals(limits: &EntryLimits) -> Router {
    let message = format!(
        "this entry has {} connections, which is its limit: try later or another entry",
        limits.max_connections
    );
    let refusal = move || {
        let refusal = Refusal::new(FailureReason::Overloaded, message.clone());
        std::future::ready(refusal.retry_after(RETRY_AFTER_MS).into_response())
    };
    Router::new().fallback(refusal)
}
