//! Commands to a stand-in over HTTP.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;

use crate::Faults;
use crate::Mode;

/// Body of `POST /control`; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// New mode.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Next writes whose request is to be lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_requests: Option<u32>,
    /// Next writes whose reply is to be lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u32>,
}

impl Control {
    /// The command that would lead to the present state.
    #[must_use]
    pub fn of(faults: &Faults) -> Self {
        let losses = faults.pending_losses();
        Self {
            mode: Some(faults.mode()),
            lose_requests: Some(losses.requests),
            lose_replies: Some(losses.replies),
        }
    }

    /// Carries out the command.
    pub async fn apply(&self, faults: &Faults) {
        if let Some(requests) = self.lose_requests {
            faults.lose_requests(requests);
        }
        if let Some(replies) = self.lose_replies {
            faults.lose_replies(replies);
        }
        if let Some(mode) = self.mode {
            faults.set_mode(mode).await;
        }
    }
}

/// `GET` and `POST /control`.
pub(crate) fn router(faults: Faults) -> Router {
    Router::new()
        .route("/control", get(show).post(command))
        .with_state(faults)
}

async fn show(State(faults): State<Faults>) -> Json<Control> {
    Json(Control::of(&faults))
}

async fn command(State(faults): State<Faults>, Json(control): Json<Control>) -> Json<Control> {
    control.apply(&faults).await;
    Json(Control::of(&faults))
}

/// Any free port of the loopback interface.
pub(crate) const fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
