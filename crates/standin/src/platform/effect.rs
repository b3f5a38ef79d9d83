//! Puts the faults of a stand-in between a request and its effect.

use axum::response::Response;

use crate::Faults;
use crate::Mode;
use crate::listener::Lost;

/// Whether a request changes anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
}

/// Acts on a request as the faults command.
///
/// The action runs in a task of its own: a slow write takes effect also if its client has gone.
pub(super) async fn act<F>(faults: Faults, kind: Kind, action: F) -> Response
where
    F: FnOnce() -> Response + Send + 'static,
{
    if kind == Kind::Write && faults.takes_request() {
        return Lost::response();
    }
    match faults.mode() {
        Mode::Normal | Mode::Refuse => finish(&faults, kind, action),
        Mode::Hang => std::future::pending().await,
        Mode::SlowMs(delay) => {
            let late = tokio::spawn(async move {
                tokio::time::sleep(delay.into()).await;
                finish(&faults, kind, action)
            });
            late.await.unwrap_or_else(|_| Lost::response())
        }
    }
}

fn finish<F: FnOnce() -> Response>(faults: &Faults, kind: Kind, action: F) -> Response {
    let response = action();
    if kind == Kind::Write && faults.takes_reply() {
        return Lost::response();
    }
    response
}
