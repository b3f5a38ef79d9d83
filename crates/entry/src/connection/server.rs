//! JSON-RPC server over WebSocket on which agents open sessions and report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dfs_conf::EntrySettings;
use dfs_listen::Account;
use dfs_listen::GuardedStream;
use dfs_listen::Peer;
use dfs_listen::Peers;
use dfs_listen::RequestBudget;
use dfs_listen::StreamLimits;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::SessionEvent;
use dfs_policy::ConnectionId;
use dfs_policy::entry::EntryEvent;
use dfs_wire::session::ATTACH_METHOD;
use dfs_wire::session::Ack;
use dfs_wire::session::Attach;
use dfs_wire::session::BAD_SECRET_CODE;
use dfs_wire::session::DETACH_METHOD;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::REPORT_METHOD;
use dfs_wire::session::Report;
use dfs_wire::session::SESSION_NOTIFICATION;
use dfs_wire::session::SESSION_OVER_CODE;
use hyper::Request;
use hyper::body::Incoming;
use jsonrpsee::Extensions;
use jsonrpsee::Methods;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::RpcModule;
use jsonrpsee::SubscriptionSink;
use jsonrpsee::core::to_json_raw_value;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::StopHandle;
use jsonrpsee::server::TowerServiceBuilder;
use jsonrpsee::server::serve_with_graceful_shutdown;
use jsonrpsee::server::stop_channel;
use jsonrpsee::types::ErrorObject;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use snafu::ResultExt;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tower::Service;
use tower::layer::util::Identity;
use tower::service_fn;

use crate::process::Command;
use crate::process::CoreHandle;
use crate::process::MessageSink;
use crate::process::StartError;

/// Send buffer that jsonrpsee keeps per connection, behind the bounded queue of the session.
const SEND_BUFFER_MESSAGES: u32 = 16;
const ONE_SESSION_PER_CONNECTION: u32 = 1;
/// Connections that have not attached. All agents may connect at once, each for some round trips; a further connection
/// takes the place of the oldest.
const MAX_UNATTACHED: usize = 128;
/// Limits until a peer has attached: the upgrade of HTTP and one small message.
const UNATTACHED_LIMITS: StreamLimits = StreamLimits {
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    write_timeout: None,
    max_head_bytes: Some(16 << 10),
};
/// Receive and send buffer of a session's socket.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;

/// A running session server.
#[derive(Debug)]
pub(crate) struct SessionServer {
    pub address: SocketAddr,
    handle: ServerHandle,
}

struct SessionContext {
    session_secret: String,
    buffer_messages: usize,
    core: CoreHandle,
    metrics: Metrics,
}

impl SessionServer {
    pub fn start(
        settings: &EntrySettings,
        core: CoreHandle,
        metrics: Metrics,
        budget: RequestBudget,
    ) -> Result<Self, StartError> {
        let limits = &settings.limits;
        let config = ServerConfig::builder()
            .ws_only()
            .max_connections(limits.max_sessions)
            .max_subscriptions_per_connection(ONE_SESSION_PER_CONNECTION)
            .max_request_body_size(limits.max_message_bytes)
            .max_response_body_size(limits.max_message_bytes)
            .set_message_buffer_capacity(SEND_BUFFER_MESSAGES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .set_tcp_no_delay(true)
            .build();
        let address = settings.session_address;
        let listen_error = || crate::process::ListenSnafu { address };
        let listener = dfs_listen::bind(address, SOCKET_BUFFER_BYTES);
        let listener = listener.with_context(|_| listen_error())?;
        let address = listener.local_addr().with_context(|_| listen_error())?;
        let module = build_module(SessionContext {
            session_secret: settings.session_secret.clone(),
            buffer_messages: limits.session_buffer_messages as usize,
            core,
            metrics,
        })?;
        let (stop_handle, handle) = stop_channel();
        let accepter = Accepter {
            service: ServerBuilder::with_config(config).to_service_builder(),
            methods: module.into(),
            unattached: Peers::new(MAX_UNATTACHED),
            budget,
            stop_handle,
        };
        tokio::spawn(accepter.run(listener));
        Ok(Self { address, handle })
    }

    pub fn stop(&self) {
        // The only error is that the server has already stopped.
        let _ = self.handle.stop();
    }
}

/// Accepts the connections of agents.
struct Accepter {
    service: TowerServiceBuilder<Identity, Identity>,
    methods: Methods,
    unattached: Peers,
    budget: RequestBudget,
    stop_handle: StopHandle,
}

/// A connection whose peer is bounded until it has attached with the session secret.
#[derive(Debug, Clone)]
struct Unattached {
    account: Account,
    peer: Arc<Mutex<Option<Peer>>>,
}

impl Unattached {
    fn set_attached(&self) {
        self.account.set_trusted();
        let peer = self.peer.lock().unwrap_or_else(PoisonError::into_inner);
        { peer }.take();
    }
}

impl Accepter {
    async fn run(self, listener: TcpListener) {
        let stopped = self.stop_handle.clone().shutdown();
        let accept_all = async {
            loop {
                let metrics = self.budget.metrics();
                let stream = dfs_listen::accept(&listener, Listener::Agents, metrics).await;
                self.serve_connection(stream);
            }
        };
        tokio::select! {
            () = accept_all => {}
            () = stopped => {}
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let account = self.budget.open_account(Listener::Agents);
        let (peer, _) = self.unattached.add(account.clone());
        let guard = Unattached {
            account: account.clone(),
            peer: Arc::new(Mutex::new(Some(peer))),
        };
        let stream = GuardedStream::new(stream, account, UNATTACHED_LIMITS);
        let methods = self.methods.clone();
        let service = self
            .service
            .clone()
            .build(methods, self.stop_handle.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(guard.clone());
            let response = service.clone().call(request);
            // The compiler can't infer that a boxed error is valid for as long as the server needs.
            async move { response.await.map_err(std::io::Error::other) }
        });
        let stopped = self.stop_handle.clone().shutdown();
        tokio::spawn(async move {
            // A broken connection concerns only its own agent.
            let _ = serve_with_graceful_shutdown(stream, service, stopped).await;
        });
    }
}

fn build_module(context: SessionContext) -> Result<RpcModule<SessionContext>, StartError> {
    let mut module = RpcModule::new(context);
    let registered = module.register_subscription(
        ATTACH_METHOD,
        SESSION_NOTIFICATION,
        DETACH_METHOD,
        serve_session,
    );
    registered.context(crate::process::RegisterMethodSnafu)?;
    let registered = module.register_async_method(REPORT_METHOD, handle_report);
    registered.context(crate::process::RegisterMethodSnafu)?;
    Ok(module)
}

async fn serve_session(
    params: Params<'static>,
    pending: PendingSubscriptionSink,
    context: Arc<SessionContext>,
    extensions: Extensions,
) {
    let attach: Attach = match params.one() {
        Ok(attach) => attach,
        Err(error) => {
            log_unreadable(&error);
            return pending.reject(error).await;
        }
    };
    let is_authentic = attach
        .secret
        .as_bytes()
        .ct_eq(context.session_secret.as_bytes());
    if !bool::from(is_authentic) {
        dfs_log::emit(SessionEvent::BadSecret {
            agent: attach.agent,
        });
        let message = "the session secret does not match: check session_secret of both processes";
        return pending
            .reject(ErrorObject::borrowed(BAD_SECRET_CODE, message, None))
            .await;
    }
    if let Some(guard) = extensions.get::<Unattached>() {
        guard.set_attached();
    }
    let Ok(sink) = pending.accept().await else {
        return;
    };
    let connection = ConnectionId(sink.connection_id().0 as u64);
    // The queue is bounded: an agent that reads too slowly loses its session instead of filling
    // memory.
    let (sender, messages) = mpsc::channel(context.buffer_messages);
    let agent = attach.agent.clone();
    dfs_log::emit(SessionEvent::Attached {
        agent: agent.clone(),
        incarnation: attach.incarnation,
    });
    let event = EntryEvent::Attach { connection, attach };
    context.core.send(Command::Attach {
        connection,
        event,
        sink: MessageSink {
            agent,
            messages: sender,
        },
    });
    forward_messages(&sink, messages, &context.metrics).await;
    context
        .core
        .send_event(EntryEvent::ConnectionLost { connection });
}

/// Sends the queued messages to the agent until the core or the agent closes the session.
async fn forward_messages(
    sink: &SubscriptionSink,
    mut messages: mpsc::Receiver<EntryMessage>,
    metrics: &Metrics,
) {
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            () = sink.closed() => None,
        };
        let Some(message) = message else { return };
        let Ok(json) = to_json_raw_value(&message) else {
            return;
        };
        metrics.count(Counter::BytesSent, json.get().len() as u64);
        if sink.send(json).await.is_err() {
            return;
        }
    }
}

async fn handle_report(
    params: Params<'static>,
    context: Arc<SessionContext>,
    extensions: Extensions,
) -> Result<Ack, ErrorObjectOwned> {
    let bytes = params.as_str().map_or(0, str::len);
    context.metrics.count(Counter::BytesReceived, bytes as u64);
    let report: Report = params.one().inspect_err(log_unreadable)?;
    let id = extensions
        .get::<jsonrpsee::ConnectionId>()
        .ok_or_else(session_closed_error)?;
    let connection = ConnectionId(id.0 as u64);
    let (reply, receiver) = oneshot::channel();
    let seq = report.seq;
    let event = EntryEvent::Report { connection, report };
    context.core.send(Command::Report {
        connection,
        seq,
        event,
        reply,
    });
    match receiver.await {
        Ok(Ok(ack)) => Ok(ack),
        Ok(Err(_)) | Err(_) => Err(session_closed_error()),
    }
}

fn log_unreadable(error: &ErrorObjectOwned) {
    let error = ErrorText::new(error);
    dfs_log::emit(SessionEvent::MessageUnreadable { error });
}

fn session_closed_error() -> ErrorObjectOwned {
    ErrorObject::borrowed(SESSION_OVER_CODE, "the session is over: attach anew", None)
}
