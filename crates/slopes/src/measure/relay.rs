//! A relay that counts bytes, segments and requests.

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
use crate::error::StartSnafu;

/// Headers of IP and TCP with the timestamp option.
const HEADER_BYTES: u64 = 52;
/// Largest payload of a segment on a usual network.
const SEGMENT_BYTES: u64 = 1_448;
const BUFFER_BYTES: usize = 64 << 10;

/// What has passed so far, in both directions together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Passed {
    /// Bytes of TCP payload.
    pub payload_bytes: u64,
    /// Segments with payload, as sent on a usual network.
    pub segments: u64,
    /// Messages from the client.
    pub up_messages: u64,
    /// Requests of HTTP other than commits.
    pub reads: u64,
}

impl Passed {
    /// Bytes on the wire if each segment is acknowledged by a bare one, which is the most.
    #[must_use]
    pub const fn wire_bytes(&self) -> u64 {
        self.payload_bytes + 2 * HEADER_BYTES * self.segments
    }
}

#[derive(Debug, Default)]
struct Counters {
    payload_bytes: AtomicU64,
    segments: AtomicU64,
    up_messages: AtomicU64,
    reads: AtomicU64,
}

impl Counters {
    fn add(&self, chunk: &[u8], is_up: bool) {
        let bytes = chunk.len() as u64;
        self.payload_bytes.fetch_add(bytes, Ordering::Relaxed);
        let segments = bytes.div_ceil(SEGMENT_BYTES);
        self.segments.fetch_add(segments, Ordering::Relaxed);
        if is_up {
            self.up_messages.fetch_add(1, Ordering::Relaxed);
            let is_commit = chunk.starts_with(b"POST /v1/rows/commit");
            let is_query = chunk.starts_with(b"POST ") && !is_commit;
            if is_query || chunk.starts_with(b"GET ") {
                self.reads.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// A relay in front of one server.
#[derive(Debug)]
pub struct Relay {
    /// Where clients connect.
    pub address: SocketAddr,
    upstream: Arc<OnceLock<SocketAddr>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to a server that listens already.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub async fn to(upstream: SocketAddr) -> Result<Self, SlopesError> {
        let relay = Self::start().await?;
        relay.connect(upstream);
        Ok(relay)
    }

    /// Starts a relay whose server is not known yet.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub async fn start() -> Result<Self, SlopesError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context(StartSnafu)?;
        let address = listener.local_addr().context(StartSnafu)?;
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

    /// Sets the server; the first one stays.
    pub fn connect(&self, upstream: SocketAddr) {
        let _ = self.upstream.set(upstream);
    }

    /// What has passed so far.
    #[must_use]
    pub fn passed(&self) -> Passed {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Passed {
            payload_bytes: read(&self.counters.payload_bytes),
            segments: read(&self.counters.segments),
            up_messages: read(&self.counters.up_messages),
            reads: read(&self.counters.reads),
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
            tokio::spawn(carry(client, *upstream, Arc::clone(&counters)));
        }
    }
}

async fn carry(client: TcpStream, upstream: SocketAddr, counters: Arc<Counters>) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // Without it messages are only later.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = copy(from_client, to_server, &counters, true) => {}
        () = copy(from_server, to_client, &counters, false) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counters: &Counters, is_up: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        counters.add(&buffer[..read], is_up);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
