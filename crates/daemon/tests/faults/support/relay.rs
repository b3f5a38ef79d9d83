//! A TCP relay that can block either direction or reset its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

const BUFFER_BYTES: usize = 16 << 10;

/// State of a link. Blocked bytes are delivered once the direction is open again, as TCP
/// retransmits after an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Blocks the direction from the client to the server.
    ToServerBlocked,
    /// Blocks the direction from the server to the client.
    ToClientBlocked,
    Blocked,
    /// Resets all connections, and new ones as soon as they are accepted.
    Reset,
    /// Resets all connections and refuses new ones.
    Refused,
    /// Refuses new connections; open ones live on.
    NewRefused,
}

impl LinkState {
    const fn allows(self, direction: Direction) -> bool {
        match (self, direction) {
            (Self::Open | Self::NewRefused, _)
            | (Self::ToServerBlocked, Direction::ToClient)
            | (Self::ToClientBlocked, Direction::ToServer) => true,
            (
                Self::ToServerBlocked
                | Self::ToClientBlocked
                | Self::Blocked
                | Self::Reset
                | Self::Refused,
                _,
            ) => false,
        }
    }

    const fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::Refused)
    }

    const fn accepts(self) -> bool {
        !matches!(self, Self::Refused | Self::NewRefused)
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    ToServer,
    ToClient,
}

/// A relay in front of one server, whose address may change.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<LinkState>,
    accepted_count: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Relay {
    pub async fn start(upstream: Option<SocketAddr>) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), upstream).await
    }

    pub async fn start_at(address: SocketAddr, upstream: Option<SocketAddr>) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = watch::Sender::new(upstream);
        let state = watch::Sender::new(LinkState::Open);
        let accepted_count = Arc::new(AtomicUsize::new(0));
        let accept_loop = accept_connections(
            listener,
            upstream.subscribe(),
            state.subscribe(),
            Arc::clone(&accepted_count),
        );
        Self {
            address,
            upstream,
            state,
            accepted_count,
            task: tokio::spawn(accept_loop),
        }
    }

    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }

    pub fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.borrow()
    }

    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.accepted_count.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream: watch::Receiver<Option<SocketAddr>>,
    mut state: watch::Receiver<LinkState>,
    accepted_count: Arc<AtomicUsize>,
) {
    let address = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        if !state.borrow_and_update().accepts() {
            listener = None;
        } else if listener.is_none() {
            listener = Some(TcpListener::bind(address).await.unwrap());
        }
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            client = accept => {
                let Ok((client, _)) = client else { continue };
                accepted_count.fetch_add(1, Ordering::Relaxed);
                connections.spawn(forward(client, *upstream.borrow(), state.clone()));
            }
            Some(_) = connections.join_next() => {}
            Ok(()) = state.changed() => {}
            else => return,
        }
    }
}

/// Forwards both directions; an error in either closes both.
async fn forward(
    client: TcpStream,
    upstream: Option<SocketAddr>,
    mut state: watch::Receiver<LinkState>,
) {
    let mut reset = state.clone();
    tokio::select! {
        opened = wait_until_allowed(&mut state, Direction::ToServer) => {
            if opened.is_none() {
                return;
            }
        }
        _ = reset.wait_for(|state| state.resets()) => return reset_connection(&client),
    }
    let Some(upstream) = upstream else { return };
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // A failure only adds latency.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let both_directions = async {
        let to_server = &mut to_server;
        let to_client = &mut to_client;
        tokio::try_join!(
            forward_direction(
                &mut from_client,
                to_server,
                state.clone(),
                Direction::ToServer
            ),
            forward_direction(
                &mut from_server,
                to_client,
                state.clone(),
                Direction::ToClient
            ),
        )
    };
    let is_reset = tokio::select! {
        _ = both_directions => false,
        _ = reset.wait_for(|state| state.resets()) => true,
    };
    if is_reset {
        reset_connection(to_client.as_ref());
        to_client.forget();
    }
}

/// Makes the close of the connection send a reset.
fn reset_connection(connection: &TcpStream) {
    // Fails only if the peer has closed the connection.
    let _ = connection.set_zero_linger();
}

async fn forward_direction(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: Direction,
) -> Result<(), ()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await.map_err(drop)?;
        wait_until_allowed(&mut state, direction).await.ok_or(())?;
        if read == 0 {
            return to.shutdown().await.map_err(drop);
        }
        to.write_all(&buffer[..read]).await.map_err(drop)?;
    }
}

/// Waits until the direction is open; `None` once the relay is dropped.
async fn wait_until_allowed(
    state: &mut watch::Receiver<LinkState>,
    direction: Direction,
) -> Option<()> {
    let allowed = state.wait_for(|state| state.allows(direction)).await;
    allowed.ok().map(drop)
}
