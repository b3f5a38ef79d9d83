//! Announces a target to its agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dfs_ids::Millis;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::json;
use snafu::Snafu;
use tokio::sync::Mutex;
use tokio::sync::watch;

const ANNOUNCE_PATH: &str = "/v1/target/announce";
const GOODBYE_PATH: &str = "/v1/target/goodbye";
/// Heartbeats sent per lease duration.
const HEARTBEATS_PER_LEASE: u32 = 3;
/// Longest wait after an announcement that the agent did not confirm.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why an announcement or a goodbye was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AnnounceError {
    /// The target has no agent.
    #[snafu(display("the target has no agent"))]
    NoAgent,
    /// The agent did not reply, or replied with an error.
    #[snafu(display("agent {agent} did not confirm: {message}"))]
    NotConfirmed {
        /// Address of the agent.
        agent: SocketAddr,
        /// Transport error, time-out or HTTP status.
        message: String,
    },
}

/// Sends announcements and the goodbye of one target; clones share the state.
#[derive(Debug, Clone)]
pub(super) struct Announcer {
    agent: Option<SocketAddr>,
    lease_ms: Millis,
    offer: Offer,
    announcing: Arc<watch::Sender<bool>>,
    /// Locked while a message is sent, so that no heartbeat arrives after the goodbye.
    client: Arc<Mutex<Client<HttpConnector, Full<Bytes>>>>,
}

impl Announcer {
    pub(super) fn new(agent: Option<SocketAddr>, lease_ms: Millis, offer: Offer) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build_http();
        Self {
            agent,
            lease_ms,
            offer,
            announcing: Arc::new(watch::Sender::new(true)),
            client: Arc::new(Mutex::new(client)),
        }
    }

    pub(super) fn set_announcing(&self, announcing: bool) {
        self.announcing.send_replace(announcing);
    }

    pub(super) fn is_announcing(&self) -> bool {
        *self.announcing.borrow()
    }

    /// Sends heartbeats while announcing is on; returns only if there is no agent.
    pub(super) async fn run(self, address: SocketAddr) {
        let Some(agent) = self.agent else {
            return;
        };
        let mut announcing = self.announcing.subscribe();
        let interval = Duration::from(self.lease_ms) / HEARTBEATS_PER_LEASE;
        let announcement = Announcement {
            address,
            lease_ms: self.lease_ms,
            offer: self.offer.clone(),
        };
        while announcing.wait_for(|on| *on).await.is_ok() {
            let confirmed = self.announce(agent, &announcement).await.is_ok();
            let wait = if confirmed { interval } else { RETRY_INTERVAL };
            tokio::time::sleep(wait.min(interval)).await;
        }
    }

    async fn announce(
        &self,
        agent: SocketAddr,
        announcement: &Announcement,
    ) -> Result<(), AnnounceError> {
        let client = self.client.lock().await;
        if !self.is_announcing() {
            return Ok(());
        }
        self.post(&client, agent, ANNOUNCE_PATH, announcement).await
    }

    /// Stops the heartbeats and tells the agent that the target is shutting down.
    pub(super) async fn goodbye(&self) -> Result<(), AnnounceError> {
        let agent = self.agent.ok_or(AnnounceError::NoAgent)?;
        let client = self.client.lock().await;
        self.set_announcing(false);
        let body = json!({ "target": self.offer.target });
        self.post(&client, agent, GOODBYE_PATH, &body).await
    }

    async fn post<T: Serialize>(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        agent: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<(), AnnounceError> {
        let not_confirmed = |message: String| AnnounceError::NotConfirmed { agent, message };
        let json = serde_json::to_vec(body).map_err(|e| not_confirmed(e.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{agent}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json)))
            .map_err(|e| not_confirmed(e.to_string()))?;
        let reply = tokio::time::timeout(self.lease_ms.into(), client.request(request))
            .await
            .map_err(|_| not_confirmed(format!("no reply within {}", self.lease_ms)))?
            .map_err(|e| not_confirmed(e.to_string()))?;
        if reply.status().is_success() {
            Ok(())
        } else {
            Err(not_confirmed(format!("status {}", reply.status())))
        }
    }
}
