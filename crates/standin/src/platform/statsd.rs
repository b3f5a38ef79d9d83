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
use crate::listener::Serving;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Lines kept; older ones are dropped.
const MAX_LINES: usize = 100_000;

/// A statsd server that keeps the lines it receives.
#[derive(Debug)]
pub struct StatsdStandin {
    address: SocketAddr,
    control: Serving,
    lines: Lines,
}

#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, datagram: &[u8]) {
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
    /// No socket could be opened.
    pub async fn spawn() -> io::Result<Self> {
        Self::spawn_on(control::any_port(), control::any_port()).await
    }

    /// Starts on a UDP address and a control address with `GET /control/lines`.
    ///
    /// # Errors
    ///
    /// An address is in use.
    pub async fn spawn_on(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        let lines = Lines::default();
        let router = Router::new()
            .route("/control/lines", get(show))
            .with_state(lines.clone());
        let mut control = Serving::start(control, router, Faults::default()).await?;
        control.also(receive(socket, lines.clone()));
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

    /// The lines received so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().clone()
    }
}

async fn receive(socket: UdpSocket, lines: Lines) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        lines.add(&buffer[..len]);
    }
}

async fn show(State(lines): State<Lines>) -> Json<Vec<String>> {
    Json(lines.lock().clone())
}
