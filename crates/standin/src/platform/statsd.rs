//! Stand-in for the statsd server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use tokio::net::UdpSocket;

use crate::Faults;
use crate::control;
use crate::listener::Server;

/// Receive buffer size; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Most lines kept; the oldest are discarded first.
const MAX_LINES: usize = 100_000;

/// A statsd server that records the lines it receives.
#[derive(Debug)]
pub struct StatsdStandin {
    address: SocketAddr,
    control: Server,
    lines: Lines,
}

#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, datagram: &[u8]) {
        let text = String::from_utf8_lossy(datagram);
        let mut lines = self.lock();
        lines.extend(text.lines().map(str::to_owned));
        let excess = lines.len().saturating_sub(MAX_LINES);
        lines.drain(..excess);
    }
}

impl StatsdStandin {
    /// Starts on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// A socket could not be opened.
    pub async fn spawn() -> io::Result<Self> {
        Self::spawn_on(control::loopback_any_port(), control::loopback_any_port()).await
    }

    /// Starts on a UDP address and a control address with `GET /control/lines`.
    ///
    /// # Errors
    ///
    /// An address could not be bound, for example because it is in use.
    pub async fn spawn_on(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        let lines = Lines::default();
        let router = Router::new()
            .route("/control/lines", get(get_lines))
            .with_state(lines.clone());
        let mut control = Server::start(control, router, Faults::default()).await?;
        control.spawn(receive(socket, lines.clone()));
        Ok(Self {
            address,
            control,
            lines,
        })
    }

    /// UDP address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of `GET /control/lines`.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the recorded lines, oldest first.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().clone()
    }
}

async fn receive(socket: UdpSocket, lines: Lines) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        lines.append(&buffer[..len]);
    }
}

async fn get_lines(State(lines): State<Lines>) -> Json<Vec<String>> {
    Json(lines.lock().clone())
}
