//! Accepts connections for an axum router, unless the stand-in refuses them.

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

const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Marks a response that is never sent; its connection breaks instead.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lost;

impl Lost {
    pub(crate) fn response() -> Response {
        let mut response = ().into_response();
        response.extensions_mut().insert(Self);
        response
    }
}

/// Breaks a connection from within its service.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the reply is lost"))]
struct ReplyLost;

/// A task that serves until it is dropped.
#[derive(Debug)]
pub(crate) struct Serving {
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Serving {
    /// Serves the router on an address, as far as the mode allows.
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

    /// Runs a further task until this is dropped.
    pub(crate) fn also(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }
}

async fn serve(mut listener: TcpListener, address: SocketAddr, router: Router, faults: Faults) {
    let mut mode = faults.watch();
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

/// Drops the listener and all connections when it returns.
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
        async move { unless_lost(hyper::service::Service::call(&router, request).await) }
    });
    // An error ends only this connection, which its client sees as well.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn unless_lost(response: Result<Response<Body>, Infallible>) -> Result<Response<Body>, ReplyLost> {
    match response {
        Ok(response) if response.extensions().get::<Lost>().is_none() => Ok(response),
        _ => Err(ReplyLost),
    }
}

/// The service listener and the control listener of one stand-in.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) service: Serving,
    pub(crate) control: Serving,
}

impl Listeners {
    /// Serves commands on both, so that only a refusing stand-in needs its control address.
    pub(crate) async fn start(
        listen: SocketAddr,
        control: SocketAddr,
        router: Router,
        commands: Router,
        faults: &Faults,
    ) -> io::Result<Self> {
        let router = router.merge(commands.clone());
        Ok(Self {
            service: Serving::start(listen, router, faults.clone()).await?,
            control: Serving::start(control, commands, Faults::default()).await?,
        })
    }
}
