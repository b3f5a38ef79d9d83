//! Stand-in for the object store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::put;
use dfs_store::protocol::OBJECTS_PATH;
use http::StatusCode;

use super::effect::RequestKind;
use super::effect::execute_with_faults;
use super::table::MAX_BODY_BYTES;
use crate::Faults;
use crate::control;
use crate::listener::Servers;

/// An in-memory object store.
#[derive(Debug)]
pub struct ObjectStandin {
    servers: Servers,
    state: ObjectState,
}

#[derive(Debug, Clone, Default)]
struct ObjectState {
    faults: Faults,
    objects: Arc<Mutex<HashMap<String, Bytes>>>,
}

impl ObjectState {
    fn objects(&self) -> MutexGuard<'_, HashMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectStandin {
    /// Starts on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// A socket could not be opened.
    pub async fn spawn() -> io::Result<Self> {
        Self::spawn_on(control::loopback_any_port(), control::loopback_any_port()).await
    }

    /// Starts on a service address and a control address.
    ///
    /// # Errors
    ///
    /// An address could not be bound, for example because it is in use.
    pub async fn spawn_on(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = ObjectState::default();
        let control_router = control::router(state.faults.clone());
        let router = Router::new()
            .route(&format!("{OBJECTS_PATH}/{{key}}"), put(write).get(read))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(state.clone());
        let servers =
            Servers::start(listen, control, router, control_router, &state.faults).await?;
        Ok(Self { servers, state })
    }

    /// Address of the service interface.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.servers.service.address()
    }

    /// Address of the control interface.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.servers.control.address()
    }

    /// Handle to the injected faults.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Number of stored objects.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state.objects().len()
    }

    /// Truncates every stored object to half its length, to simulate corruption.
    pub fn damage(&self) {
        for content in self.state.objects().values_mut() {
            content.truncate(content.len() / 2);
        }
    }
}

async fn write(
    State(state): State<ObjectState>,
    Path(key): Path<String>,
    content: Bytes,
) -> Response {
    let faults = state.faults.clone();
    execute_with_faults(faults, RequestKind::Write, move || {
        state.objects().insert(key, content);
        StatusCode::OK.into_response()
    })
    .await
}

async fn read(State(state): State<ObjectState>, Path(key): Path<String>) -> Response {
    let faults = state.faults.clone();
    execute_with_faults(faults, RequestKind::Read, move || {
        let content = state.objects().get(&key).cloned();
        content.map_or_else(
            || StatusCode::NOT_FOUND.into_response(),
            IntoResponse::into_response,
        )
    })
    .await
}
