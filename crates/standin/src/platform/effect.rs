//! Applies the injected faults of a stand-in to its requests.

use axum::response::Response;

use crate::Faults;
use crate::Mode;
use crate::listener::DropConnection;

/// Whether a request changes stored data; lost requests and replies concern only writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Read,
    Write,
}

/// Executes a request subject to the injected faults.
///
/// A delayed request is executed even if its client has disconnected.
pub(super) async fn execute_with_faults<F>(
    faults: Faults,
    kind: RequestKind,
    operation: F,
) -> Response
where
    F: FnOnce() -> Response + Send + 'static,
{
    if kind == RequestKind::Write && faults.consume_request_loss() {
        return DropConnection::response();
    }
    let mode = faults.mode();
    match (mode, kind) {
        (Mode::Normal | Mode::Refuse, _) | (Mode::HoldWrites, RequestKind::Read) => {
            execute(&faults, kind, operation)
        }
        (Mode::Hang, _) => std::future::pending().await,
        (Mode::SlowMs(delay), _) => {
            execute_after(tokio::time::sleep(delay.into()), faults, kind, operation).await
        }
        (Mode::HoldWrites, RequestKind::Write) => {
            let release = faults.clone();
            execute_after(
                async move { release.wait_until_writes_released().await },
                faults,
                kind,
                operation,
            )
            .await
        }
    }
}

/// Executes a request after a wait, in its own task, so that it outlives the connection.
async fn execute_after<F, W>(wait: W, faults: Faults, kind: RequestKind, operation: F) -> Response
where
    F: FnOnce() -> Response + Send + 'static,
    W: Future<Output = ()> + Send + 'static,
{
    let task = tokio::spawn(async move {
        wait.await;
        execute(&faults, kind, operation)
    });
    task.await.unwrap_or_else(|_| DropConnection::response())
}

fn execute<F: FnOnce() -> Response>(faults: &Faults, kind: RequestKind, operation: F) -> Response {
    let response = operation();
    if kind == RequestKind::Write && faults.consume_reply_loss() {
        return DropConnection::response();
    }
    response
}
