//! Division of an instance's memory between connections, requests that arrive, and everything else.

/// Memory of a connection that holds no request: its task, and the read and write buffers of HTTP.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Range of the receive and send buffers of a socket. The system reserves twice the size. With less than the
/// minimum, bodies of the largest size arrive slowly on connections with a long round-trip time.
const MIN_SOCKET_BUFFER_BYTES: u64 = 8 << 10;
const MAX_SOCKET_BUFFER_BYTES: u64 = 256 << 10;

/// Memory of an instance, divided by purpose.
///
/// A quarter at most is for requests that arrive and for jobs that wait for their answer, and a sixteenth for bytes
/// that the system has received and the process has not read. The rest is for connections, sessions, the configuration
/// and admitted work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Bytes of requests that may be held over all connections, beyond the first bytes of each.
    pub request_bytes: u64,
    /// Size of the receive buffer, and of the send buffer, of a caller's socket.
    pub socket_buffer_bytes: u32,
}

impl MemoryShares {
    /// Divides the memory of an instance with up to `max_connections` connections.
    #[must_use]
    pub fn new(memory_mb: u32, max_connections: u32) -> Self {
        let memory_bytes = u64::from(memory_mb) << 20;
        let connection_bytes = u64::from(max_connections) * CONNECTION_BYTES;
        let left_bytes = (memory_bytes / 4 * 3).saturating_sub(connection_bytes);
        let socket_buffer_bytes = memory_bytes / 16 / u64::from(max_connections.max(1));
        let socket_buffer_bytes =
            socket_buffer_bytes.clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES);
        Self {
            request_bytes: left_bytes.clamp(memory_bytes / 8, memory_bytes / 4),
            socket_buffer_bytes: u32::try_from(socket_buffer_bytes).unwrap_or(u32::MAX),
        }
    }
}
