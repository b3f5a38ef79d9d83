//! The HTTP control interface of a stand-in.

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

/// Body of `POST /control`; an absent field leaves its setting unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Mode to switch to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Number of upcoming writes whose request is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_requests: Option<u32>,
    /// Number of upcoming writes whose reply is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u32>,
}

impl Control {
    /// Returns the current settings, in the form that [`Self::apply`] accepts.
    #[must_use]
    pub fn of(faults: &Faults) -> Self {
        let losses = faults.pending_losses();
        Self {
            mode: Some(faults.mode()),
            lose_requests: Some(losses.requests),
            lose_replies: Some(losses.replies),
        }
    }

    /// Applies the settings; returns once the listener has followed a change of mode.
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

/// Routes for `GET` and `POST /control`.
pub(crate) fn router(faults: Faults) -> Router {
    Router::new()
        .route("/control", get(get_control).post(post_control))
        .with_state(faults)
}

async fn get_control(State(faults): State<Faults>) -> Json<Control> {
    Json(Control::of(&faults))
}

async fn post_control(State(faults): State<Faults>, Json(control): Json<Control>) -> Json<Control> {
    control.apply(&faults).await;
    Json(Control::of(&faults))
}

/// A loopback address with port 0, so that the system assigns a free port.
pub(crate) const fn loopback_any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
