//! TCP relay that counts bytes, segments, messages and HTTP reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use snafu::ResultExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinHandle;

use crate::SlopesError;
use crate::error::SetupSnafu;

/// IPv4 and TCP headers with the timestamp option.
const HEADER_BYTES: u64 = 52;
/// Maximum segment payload with an MTU of 1,500 bytes.
const SEGMENT_BYTES: u64 = 1_448;
const BUFFER_BYTES: usize = 64 << 10;

/// Traffic relayed so far, both directions together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Bytes of TCP payload.
    pub payload_bytes: u64,
    /// Segments with payload that the same traffic would take with an MTU of 1,500 bytes; loopback
    /// segments are larger.
    pub segments: u64,
    /// Messages from the client, counted as one for each read from its socket.
    pub client_messages: u64,
    /// HTTP requests other than commits.
    pub reads: u64,
}

impl Traffic {
    /// Upper bound of the bytes on the wire: each segment is acknowledged by one without payload.
    #[must_use]
    pub const fn wire_bytes(&self) -> u64 {
        self.payload_bytes + 2 * HEADER_BYTES * self.segments
    }
}

#[derive(Debug, Default)]
struct Counters {
    payload_bytes: AtomicU64,
    segments: AtomicU64,
    client_messages: AtomicU64,
    reads: AtomicU64,
}

impl Counters {
    fn add(&self, chunk: &[u8], from_client: bool) {
        let bytes = chunk.len() as u64;
        self.payload_bytes.fetch_add(bytes, Ordering::Relaxed);
        let segments = bytes.div_ceil(SEGMENT_BYTES);
        self.segments.fetch_add(segments, Ordering::Relaxed);
        if from_client {
            self.client_messages.fetch_add(1, Ordering::Relaxed);
            let is_commit = chunk.starts_with(b"POST /v1/rows/commit");
            let is_query = chunk.starts_with(b"POST ") && !is_commit;
            if is_query || chunk.starts_with(b"GET ") {
                self.reads.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// TCP relay in front of one server; it stops accepting connections on drop.
#[derive(Debug)]
pub struct Relay {
    /// Loopback address that clients connect to.
    pub address: SocketAddr,
    upstream: Arc<OnceLock<SocketAddr>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to a server that is already listening.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub async fn start_to(upstream: SocketAddr) -> Result<Self, SlopesError> {
        let relay = Self::start().await?;
        relay.set_upstream(upstream);
        Ok(relay)
    }

    /// Starts a relay whose server is not known yet; connections are closed until it is set.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub async fn start() -> Result<Self, SlopesError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context(SetupSnafu)?;
        let address = listener.local_addr().context(SetupSnafu)?;
        let counters = Arc::<Counters>::default();
        let upstream = Arc::<OnceLock<_>>::default();
        let serving = serve(listener, Arc::clone(&upstream), Arc::clone(&counters));
        Ok(Self {
            address,
            upstream,
            counters,
            task: tokio::spawn(serving),
        })
    }

    /// Sets the server; ignored if one is already set.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        let _ = self.upstream.set(upstream);
    }

    /// Returns the counters accumulated since the start.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            payload_bytes: load(&self.counters.payload_bytes),
            segments: load(&self.counters.segments),
            client_messages: load(&self.counters.client_messages),
            reads: load(&self.counters.reads),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    listener: TcpListener,
    upstream: Arc<OnceLock<SocketAddr>>,
    counters: Arc<Counters>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if let Some(upstream) = upstream.get() {
            tokio::spawn(relay_connection(client, *upstream, Arc::clone(&counters)));
        }
    }
}

async fn relay_connection(client: TcpStream, upstream: SocketAddr, counters: Arc<Counters>) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // Failing to disable Nagle's algorithm only delays messages.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = copy(from_client, to_server, &counters, true) => {}
        () = copy(from_server, to_client, &counters, false) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    counters: &Counters,
    from_client: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        counters.add(&buffer[..read], from_client);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
