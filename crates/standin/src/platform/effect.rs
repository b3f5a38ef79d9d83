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
/// A late write takes effect also if its client has gone.
pub(super) async fn act<F>(faults: Faults, kind: Kind, action: F) -> Response
where
    F: FnOnce() -> Response + Send + 'static,
{
    if kind == Kind::Write && faults.takes_request() {
        return Lost::response();
    }
    let mode = faults.mode();
    match (mode, kind) {
        (Mode::Normal | Mode::Refuse, _) | (Mode::HoldWrites, Kind::Read) => {
            finish(&faults, kind, action)
        }
        (Mode::Hang, _) => std::future::pending().await,
        (Mode::SlowMs(delay), _) => {
            late(tokio::time::sleep(delay.into()), faults, kind, action).await
        }
        (Mode::HoldWrites, Kind::Write) => {
            let held = faults.clone();
            late(async move { held.released().await }, faults, kind, action).await
        }
    }
}

/// Acts after a wait, in a task of its own.
async fn late<F, W>(wait: W, faults: Faults, kind: Kind, action: F) -> Response
where
    F: FnOnce() -> Response + Send + 'static,
    W: Future<Output = ()> + Send + 'static,
{
    let task = tokio::spawn(async move {
        wait.await;
        finish(&faults, kind, action)
    });
    task.await.unwrap_or_else(|_| Lost::response())
}

fn finish<F: FnOnce() -> Response>(faults: &Faults, kind: Kind, action: F) -> Response {
    let response = action();
    if kind == Kind::Write && faults.takes_reply() {
        return Lost::response();
    }
    response
}
