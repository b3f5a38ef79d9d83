//! Stand-in for the table service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use dfs_store::Row;
use dfs_store::RowKey;
use dfs_store::protocol::COMMIT_PATH;
use dfs_store::protocol::CommitReply;
use dfs_store::protocol::CommitRequest;
use dfs_store::protocol::ConflictReply;
use dfs_store::protocol::READ_PATH;
use dfs_store::protocol::ReadReply;
use dfs_store::protocol::ReadRequest;
use dfs_store::protocol::SCAN_PATH;
use dfs_store::protocol::ScanReply;
use dfs_store::protocol::ScanRequest;
use http::StatusCode;

use super::effect::RequestKind;
use super::effect::execute_with_faults;
use super::rows::Rows;
use crate::Faults;
use crate::control;
use crate::listener::Servers;

/// Largest accepted request body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 << 20;

/// An in-memory table service.
#[derive(Debug)]
pub struct TableStandin {
    servers: Servers,
    state: TableState,
}

#[derive(Debug, Clone, Default)]
struct TableState {
    faults: Faults,
    rows: Arc<Mutex<Rows>>,
}

impl TableState {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableStandin {
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
        let state = TableState::default();
        let control_router = control::router(state.faults.clone());
        let router = Router::new()
            .route(READ_PATH, post(read))
            .route(SCAN_PATH, post(scan))
            .route(COMMIT_PATH, post(commit))
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

    /// Returns the rows whose keys start with `prefix`, read directly, unaffected by faults.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state.rows().scan(&RowKey::new(prefix))
    }

    /// Number of commits applied so far.
    #[must_use]
    pub fn commits(&self) -> u64 {
        self.state.rows().commits()
    }
}

async fn read(State(state): State<TableState>, Json(request): Json<ReadRequest>) -> Response {
    let faults = state.faults.clone();
    execute_with_faults(faults, RequestKind::Read, move || {
        let rows = state.rows().read(&request.keys);
        Json(ReadReply { rows }).into_response()
    })
    .await
}

async fn scan(State(state): State<TableState>, Json(request): Json<ScanRequest>) -> Response {
    let faults = state.faults.clone();
    execute_with_faults(faults, RequestKind::Read, move || {
        let rows = state.rows().scan(&request.prefix);
        Json(ScanReply { rows }).into_response()
    })
    .await
}

async fn commit(State(state): State<TableState>, Json(request): Json<CommitRequest>) -> Response {
    let faults = state.faults.clone();
    execute_with_faults(faults, RequestKind::Write, move || {
        let outcome = state.rows().commit(request.writes);
        match outcome {
            Ok(revision) => Json(CommitReply { revision }).into_response(),
            Err(conflicts) => {
                (StatusCode::CONFLICT, Json(ConflictReply { conflicts })).into_response()
            }
        }
    })
    .await
}
