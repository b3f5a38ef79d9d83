//! Connects to an entry and keeps a session with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dfs_conf::AgentSettings;
use dfs_ids::Incarnation;
use dfs_ids::TakeoverNumber;
use dfs_log::ErrorText;
use dfs_log::SessionEvent;
use dfs_policy::ConnectionId;
use dfs_policy::agent::AgentEvent;
use dfs_wire::session::ATTACH_METHOD;
use dfs_wire::session::Ack;
use dfs_wire::session::Attach;
use dfs_wire::session::DETACH_METHOD;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::REPORT_METHOD;
use dfs_wire::session::Report;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::core::client::Subscription;
use jsonrpsee::core::client::SubscriptionClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use rand::Rng;
use tokio::sync::mpsc;

use crate::process::Command;
use crate::process::CoreHandle;
use crate::process::DialEvent;

/// Messages of an entry that may wait for the core; a session with more is closed.
const MAX_WAITING_MESSAGES: usize = 1_024;
/// Reports to an entry that may wait for their acknowledgement.
const MAX_WAITING_REPORTS: usize = 1_024;
/// Longest wait for a connection to be established or a report to be acknowledged.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Fraction of the redial delay by which it is randomly shortened, so that agents do not reconnect
/// in step.
const JITTER: f64 = 0.5;

/// An entry to connect to, and what a session with it needs.
#[derive(Debug, Clone)]
pub(crate) struct Dial {
    pub settings: Arc<AgentSettings>,
    pub incarnation: Incarnation,
    pub takeover: Option<TakeoverNumber>,
    pub address: SocketAddr,
    pub core: CoreHandle,
    pub events: mpsc::UnboundedSender<DialEvent>,
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);

/// Keeps a session with the entry until the task is aborted. After a failed attempt the delay
/// before the next one doubles, up to `redial_max_ms`.
pub(crate) async fn keep_session(dial: Dial) {
    let min_delay = Duration::from(dial.settings.redial_ms);
    let max_delay = Duration::from(dial.settings.redial_max_ms);
    let mut delay = min_delay;
    loop {
        match dial.connect().await {
            Ok((client, messages)) => {
                delay = min_delay;
                dial.run_session(client, messages).await;
            }
            Err(error) => {
                delay = (delay * 2).min(max_delay);
                dfs_log::emit(SessionEvent::DialFailed {
                    address: dial.address,
                    redial_ms: dial.settings.redial_ms,
                    error: ErrorText::new(&error),
                });
            }
        }
        let factor = rand::rng().random_range(1.0 - JITTER..=1.0);
        tokio::time::sleep(delay.mul_f64(factor)).await;
    }
}

impl Dial {
    async fn connect(&self) -> Result<(WsClient, Subscription<EntryMessage>), ClientError> {
        let client = WsClientBuilder::default()
            .connection_timeout(REPLY_TIMEOUT)
            .request_timeout(REPLY_TIMEOUT)
            .max_request_size(self.settings.max_message_bytes)
            .max_response_size(self.settings.max_message_bytes)
            .max_buffer_capacity_per_subscription(MAX_WAITING_MESSAGES)
            .max_concurrent_requests(MAX_WAITING_REPORTS)
            .set_tcp_no_delay(true)
            .build(format!("ws://{}", self.address))
            .await?;
        let attach = Attach {
            secret: self.settings.session_secret.clone(),
            agent: self.settings.agent.clone(),
            incarnation: self.incarnation,
            domain: self.settings.domain.clone(),
            takeover: self.takeover,
        };
        let parameters = rpc_params![attach];
        let messages = client
            .subscribe(ATTACH_METHOD, parameters, DETACH_METHOD)
            .await?;
        Ok((client, messages))
    }

    /// Passes messages to the core and reports to the entry until either side closes the
    /// connection.
    async fn run_session(&self, client: WsClient, mut messages: Subscription<EntryMessage>) {
        let connection = ConnectionId(NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed));
        let address = self.address;
        // The receiver is dropped only with the process.
        let _ = self.events.send(DialEvent::Connected {
            connection,
            address,
        });
        let guard = DisconnectGuard {
            connection,
            core: self.core.clone(),
            events: self.events.clone(),
        };
        let (sender, mut reports) = mpsc::unbounded_channel();
        self.core.send(Command::Connected {
            connection,
            reports: sender,
        });
        let client = Arc::new(client);
        let (failed_sender, mut failed) = mpsc::channel::<()>(1);
        loop {
            tokio::select! {
                message = messages.next() => {
                    match message {
                        Some(Ok(message)) => {
                            self.core.send_event(AgentEvent::Message { connection, message });
                        }
                        Some(Err(error)) => {
                            let error = ErrorText::new(&error);
                            dfs_log::emit(SessionEvent::MessageUnreadable { error });
                            break;
                        }
                        None => break,
                    }
                }
                report = reports.recv() => {
                    let Some(report) = report else { break };
                    let call = ReportCall {
                        client: Arc::clone(&client),
                        connection,
                        core: self.core.clone(),
                        failed: failed_sender.clone(),
                    };
                    tokio::spawn(call.send(report));
                }
                _ = failed.recv() => break,
            }
        }
        drop(guard);
    }
}

/// Reports the lost connection when dropped, and so also when the task that holds it is aborted.
struct DisconnectGuard {
    connection: ConnectionId,
    core: CoreHandle,
    events: mpsc::UnboundedSender<DialEvent>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let connection = self.connection;
        self.core
            .send_event(AgentEvent::ConnectionLost { connection });
        // The receiver is dropped only with the process.
        let _ = self.events.send(DialEvent::Disconnected { connection });
    }
}

/// The RPC call for one report.
struct ReportCall {
    client: Arc<WsClient>,
    connection: ConnectionId,
    core: CoreHandle,
    failed: mpsc::Sender<()>,
}

impl ReportCall {
    async fn send(self, report: Report) {
        let seq = report.seq;
        let reply = self
            .client
            .request::<Ack, _>(REPORT_METHOD, rpc_params![report])
            .await;
        match reply {
            Ok(ack) => {
                let connection = self.connection;
                self.core.send_event(AgentEvent::ReportAcked {
                    connection,
                    seq,
                    ack,
                });
            }
            // One failed report is enough to close the connection, so the channel may be full.
            Err(_) => drop(self.failed.try_send(())),
        }
    }
}
