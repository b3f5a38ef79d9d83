//! Serves HTTP on a listener within limits.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::response::Response;
use dfs_log::ClientLimit;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tower::ServiceExt;

use crate::Account;
use crate::GuardedStream;
use crate::Peers;
use crate::RequestBudget;
use crate::StreamLimits;
use crate::account::Phase;

/// Number of connections over the limit that are answered with a refusal at the same time; any
/// further one is closed unanswered.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Time within which a connection over the limit must have sent its request and been answered.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed `accept`, for example when no file descriptor is free, so that the loop
/// does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that HTTP can be served with.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Limits of listeners for probes and scrapes, which send small heads, no body, and few at a time.
const PROBE_CONNECTIONS: usize = 32;
const PROBE_HEADERS: usize = 64;
const PROBE_HEAD_BYTES: usize = 16 << 10;
const PROBE_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
const PROBE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Receive and send buffer of the metrics listener. An answer has some tens of kilobytes.
const METRICS_BUFFER_BYTES: u32 = 64 << 10;

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Kind of client, for logs.
    pub listener: Listener,
    /// Most open connections.
    pub max_connections: usize,
    /// What happens to a connection over the limit.
    pub overflow: Overflow,
    /// Most header lines of a request.
    pub max_headers: usize,
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Times that a client may take.
    pub stream: StreamLimits,
}

/// What happens when a listener has as many connections as it may have.
#[derive(Debug, Clone)]
pub enum Overflow {
    /// These routes answer the new connection.
    Refuse(Router),
    /// The connection that has waited longest without a request makes room.
    EvictOldest,
}

impl Limits {
    /// Limits of a listener for probes or scrapes.
    #[must_use]
    pub fn of_probes(listener: Listener) -> Self {
        Self {
            listener,
            max_connections: PROBE_CONNECTIONS,
            overflow: Overflow::EvictOldest,
            max_headers: PROBE_HEADERS,
            max_head_bytes: PROBE_HEAD_BYTES,
            stream: StreamLimits {
                head_timeout: PROBE_HEAD_TIMEOUT,
                idle_timeout: PROBE_IDLE_TIMEOUT,
                write_timeout: Some(PROBE_WRITE_TIMEOUT),
                max_head_bytes: None,
            },
        }
    }

    fn http_builder(&self) -> Builder {
        let mut builder = Builder::new();
        // The time for the head is that of the stream, which counts from its first byte.
        builder
            .max_buf_size(self.max_head_bytes.max(MIN_READ_BUFFER_BYTES))
            .max_headers(self.max_headers);
        builder
    }
}

/// Accepts the next connection. A failure, for example for lack of descriptors, is logged and tried again after a
/// pause, in which open connections are served.
pub async fn accept(listener: &TcpListener, kind: Listener, metrics: &Metrics) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without the option answers only arrive later.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                metrics.count(Counter::AcceptFailures, 1);
                dfs_log::emit(ProcessEvent::AcceptFailed {
                    listener: kind,
                    error: ErrorText::new(&error),
                });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the metrics at `/metrics` in a background task until the process exits.
///
/// Returns the bound address, which has the port that was chosen if `address` has port 0.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve_metrics(address: SocketAddr, metrics: Metrics) -> io::Result<SocketAddr> {
    let listener = crate::bind(address, METRICS_BUFFER_BYTES)?;
    let address = listener.local_addr()?;
    let limits = Limits::of_probes(Listener::Metrics);
    let budget = RequestBudget::of_probes(metrics.clone());
    let router = dfs_log::metrics_router(metrics);
    tokio::spawn(serve(
        listener,
        router,
        limits,
        budget,
        std::future::pending(),
    ));
    Ok(address)
}

/// Serves requests until `closed` resolves, then waits for those in progress.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    budget: RequestBudget,
    closed: impl Future<Output = ()>,
) {
    let graceful = GracefulShutdown::new();
    let (closing_sender, closing) = watch::channel(());
    let server = Arc::new(Server {
        router,
        peers: Peers::new(limits.max_connections),
        connections: Arc::new(Semaphore::new(limits.max_connections)),
        refusals: Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS)),
        limits,
        budget,
    });
    let accept_all = async {
        loop {
            let (kind, metrics) = (server.limits.listener, server.budget.metrics());
            let stream = accept(&listener, kind, metrics).await;
            server.admit(stream, &graceful, &closing);
        }
    };
    tokio::select! {
        () = accept_all => {}
        () = closed => {}
    }
    drop(closing_sender);
    graceful.shutdown().await;
}

struct Server {
    router: Router,
    limits: Limits,
    budget: RequestBudget,
    peers: Peers,
    connections: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
}

impl Server {
    fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        graceful: &GracefulShutdown,
        closing: &watch::Receiver<()>,
    ) {
        let account = self.budget.open_account(self.limits.listener);
        let connection = Connection {
            server: Arc::clone(self),
            watcher: graceful.watcher(),
            closing: closing.clone(),
            stream: GuardedStream::new(stream, account.clone(), self.limits.stream),
            account: account.clone(),
        };
        match &self.limits.overflow {
            Overflow::EvictOldest => {
                let (peer, is_full) = self.peers.add(account);
                if is_full {
                    self.log_full();
                }
                tokio::spawn(async move {
                    connection.run().await;
                    drop(peer);
                });
            }
            Overflow::Refuse(refusal) => {
                if let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() {
                    tokio::spawn(async move {
                        connection.run().await;
                        drop(permit);
                    });
                    return;
                }
                self.log_full();
                if let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() {
                    let refusal = refusal.clone();
                    tokio::spawn(async move {
                        // On a timeout the connection is closed unanswered.
                        let _ =
                            tokio::time::timeout(REFUSAL_TIMEOUT, connection.refuse(refusal)).await;
                        drop(permit);
                    });
                }
            }
        }
    }

    fn log_full(&self) {
        let metrics = self.budget.metrics();
        metrics.count(Counter::ConnectionsOverLimit, 1);
        dfs_log::emit(ProcessEvent::ConnectionsAtLimit {
            listener: self.limits.listener,
            max_connections: self.limits.max_connections,
        });
    }
}

struct Connection {
    server: Arc<Server>,
    watcher: Watcher,
    closing: watch::Receiver<()>,
    stream: GuardedStream,
    account: Account,
}

impl Connection {
    async fn run(mut self) {
        // A connection that sends nothing needs no buffers.
        let has_input = tokio::select! {
            biased;
            has_input = self.stream.wait_for_input() => has_input,
            _ = self.closing.changed() => false,
        };
        if !has_input {
            return;
        }
        let service = RequestService {
            router: self.server.router.clone(),
            account: self.account.clone(),
        };
        let builder = self.server.limits.http_builder();
        let connection = builder.serve_connection(TokioIo::new(self.stream), service);
        // A broken connection concerns only its own client.
        if let Err(error) = self.watcher.watch(connection).await
            && error.is_parse_too_large()
        {
            self.account.log_cut_off(ClientLimit::HeadBytes);
        }
    }

    async fn refuse(self, router: Router) {
        let service = RequestService {
            router,
            account: self.account,
        };
        let mut builder = self.server.limits.http_builder();
        let connection = builder
            .keep_alive(false)
            .serve_connection(TokioIo::new(self.stream), service);
        let _ = connection.await;
    }
}

/// Passes requests to the routes, with the account of their connection among their extensions.
struct RequestService {
    router: Router,
    account: Account,
}

impl Service<Request<Incoming>> for RequestService {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        self.account.set_phase(Phase::Request);
        request.extensions_mut().insert(self.account.clone());
        let open = OpenRequest(self.account.clone());
        let response = self.router.clone().oneshot(request);
        Box::pin(async move {
            let response = response.await;
            drop(open);
            response
        })
    }
}

/// A request that is not answered yet.
struct OpenRequest(Account);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.release();
        self.0.set_phase(Phase::Idle);
    }
}
