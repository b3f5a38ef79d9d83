//! A TCP relay that can be cut in one direction or both.

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

/// State of a link. Bytes that are held back arrive after it is mended, as TCP would send them anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Mended,
    /// Holds back what the client sends.
    ToServer,
    /// Holds back what the server sends.
    ToClient,
    Both,
    /// Breaks every connection.
    Broken,
}

impl Cut {
    const fn passes(self, direction: Direction) -> bool {
        match (self, direction) {
            (Self::Mended, _)
            | (Self::ToServer, Direction::ToClient)
            | (Self::ToClient, Direction::ToServer) => true,
            (Self::ToServer | Self::ToClient | Self::Both | Self::Broken, _) => false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    ToServer,
    ToClient,
}

/// A relay in front of one server that may move.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    cut: watch::Sender<Cut>,
    accepted: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Relay {
    pub async fn to(upstream: Option<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = watch::Sender::new(upstream);
        let cut = watch::Sender::new(Cut::Mended);
        let accepted = Arc::new(AtomicUsize::new(0));
        let serving = serve(
            listener,
            upstream.subscribe(),
            cut.subscribe(),
            Arc::clone(&accepted),
        );
        Self {
            address,
            upstream,
            cut,
            accepted,
            task: tokio::spawn(serving),
        }
    }

    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }

    pub fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.borrow()
    }

    pub fn cut(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    listener: TcpListener,
    upstream: watch::Receiver<Option<SocketAddr>>,
    cut: watch::Receiver<Cut>,
    accepted: Arc<AtomicUsize>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            client = listener.accept() => {
                let Ok((client, _)) = client else { continue };
                accepted.fetch_add(1, Ordering::Relaxed);
                connections.spawn(carry(client, *upstream.borrow(), cut.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Carries both directions; an error in either ends both.
async fn carry(client: TcpStream, upstream: Option<SocketAddr>, mut cut: watch::Receiver<Cut>) {
    if *cut.borrow() == Cut::Broken || pass(&mut cut, Direction::ToServer).await.is_none() {
        return;
    }
    let Some(upstream) = upstream else { return };
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    // Without it messages are only later.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let copies = async {
        tokio::try_join!(
            copy(from_client, to_server, cut.clone(), Direction::ToServer),
            copy(from_server, to_client, cut.clone(), Direction::ToClient),
        )
    };
    let mut broken = cut.clone();
    tokio::select! {
        _ = copies => {}
        _ = broken.wait_for(|cut| *cut == Cut::Broken) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Cut>,
    direction: Direction,
) -> Result<(), ()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await.map_err(drop)?;
        pass(&mut cut, direction).await.ok_or(())?;
        if read == 0 {
            return to.shutdown().await.map_err(drop);
        }
        to.write_all(&buffer[..read]).await.map_err(drop)?;
    }
}

/// Waits until the direction is open; none once the relay is gone.
async fn pass(cut: &mut watch::Receiver<Cut>, direction: Direction) -> Option<()> {
    let passed = cut.wait_for(|cut| cut.passes(direction)).await;
    passed.ok().map(drop)
}
