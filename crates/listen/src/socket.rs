//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener whose connections have receive and send buffers of a size, so that bytes that the process does
/// not read, and answers that its clients do not read, stay bounded.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddr, buffer_bytes: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_send_buffer_size(buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
