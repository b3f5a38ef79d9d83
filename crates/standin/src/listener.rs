//! Serves an axum router, and refuses connections while the mode is [`Mode::Refuse`].

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Faults;
use crate::Mode;

/// Wait between attempts to bind the same address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Response extension that closes the connection instead of sending the response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DropConnection;

impl DropConnection {
    pub(crate) fn response() -> Response {
        let mut response = ().into_response();
        response.extensions_mut().insert(Self);
        response
    }
}

/// Error that makes hyper close the connection of the current request.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("connection closed instead of sending the response"))]
struct ConnectionDropped;

/// A running HTTP server; dropping it stops the server and its other tasks.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Server {
    /// Binds the address and serves the router on it, except while the mode is [`Mode::Refuse`].
    pub(crate) async fn start(
        listen: SocketAddr,
        router: Router,
        faults: Faults,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, address, router, faults));
        Ok(Self { address, tasks })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Spawns a task that is aborted when the server is dropped.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }
}

async fn serve(mut listener: TcpListener, address: SocketAddr, router: Router, faults: Faults) {
    let mut mode = faults.subscribe();
    loop {
        faults.set_listening(true);
        accept_until_refused(listener, &router, &mut mode).await;
        faults.set_listening(false);
        if mode.wait_for(|m| *m != Mode::Refuse).await.is_err() {
            return;
        }
        listener = rebind(address).await;
    }
}

/// Accepts connections until the mode is [`Mode::Refuse`]; on return the listener and all
/// connections are closed.
async fn accept_until_refused(
    listener: TcpListener,
    router: &Router,
    mode: &mut watch::Receiver<Mode>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = mode.wait_for(|m| *m == Mode::Refuse) => return,
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve_connection(stream, router.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move { reply_or_drop(hyper::service::Service::call(&router, request).await) }
    });
    // An error affects only this connection, and its client sees the connection close.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn reply_or_drop(
    response: Result<Response<Body>, Infallible>,
) -> Result<Response<Body>, ConnectionDropped> {
    match response {
        Ok(response) if response.extensions().get::<DropConnection>().is_none() => Ok(response),
        _ => Err(ConnectionDropped),
    }
}

/// The service and control servers of one stand-in.
#[derive(Debug)]
pub(crate) struct Servers {
    pub(crate) service: Server,
    pub(crate) control: Server,
}

impl Servers {
    /// Serves the control routes on both addresses. The control address ignores faults; it is needed
    /// only while the service address refuses connections.
    pub(crate) async fn start(
        listen: SocketAddr,
        control: SocketAddr,
        router: Router,
        control_router: Router,
        faults: &Faults,
    ) -> io::Result<Self> {
        let router = router.merge(control_router.clone());
        Ok(Self {
            service: Server::start(listen, router, faults.clone()).await?,
            control: Server::start(control, control_router, Faults::default()).await?,
        })
    }
}
