//! Start and stop requests to the target.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use dfs_ids::Millis;
use dfs_policy::response::ResponseTimer;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use tokio::sync::Semaphore;

use super::TargetClient;

/// Limit on start and stop requests in flight, each of which uses a connection of its own.
const MAX_CONCURRENT_ORDERS: usize = 3;
/// Shortest response timeout of a start request. On an instance with little processor time, a timer and the
/// response behind it may both be late by some milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: Millis = Millis::new(25);
/// Longest response timeout of a start request.
const MAX_RESPONSE_TIMEOUT_MS: Millis = Millis::new(100);

/// Sends start and stop requests, a limited number at a time.
#[derive(Clone)]
pub(super) struct Orders {
    client: Arc<dyn TargetClient>,
    permits: Arc<Semaphore>,
    response_timer: Arc<Mutex<ResponseTimer>>,
    /// Whether the failure domain of the target is evacuated.
    is_evacuated: Arc<AtomicBool>,
}

impl Orders {
    pub fn new(client: Arc<dyn TargetClient>) -> Self {
        let timer = ResponseTimer::new(MIN_RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS);
        Self {
            client,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
            response_timer: Arc::new(Mutex::new(timer)),
            is_evacuated: Arc::default(),
        }
    }

    /// While the failure domain is evacuated, starts that wait for a connection are not sent any more.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    pub async fn start(&self, request: &StartRequest) -> RequestOutcome {
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        if self.is_evacuated.load(Ordering::Relaxed) {
            return RequestOutcome::Refused {
                refusal: Refusal::Evacuated,
                clock: None,
            };
        }
        let timeout_ms = self.with_timer(|timer| timer.timeout_ms());
        let sent_at = Instant::now();
        let response = self.client.start(request);
        let Ok(outcome) = tokio::time::timeout(timeout_ms.into(), response).await else {
            self.with_timer(ResponseTimer::record_timeout);
            return no_response(timeout_ms);
        };
        match &outcome {
            RequestOutcome::Done { .. } | RequestOutcome::Refused { .. } => {
                let elapsed_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                self.with_timer(|timer| timer.record_response(Millis::new(elapsed_ms)));
            }
            RequestOutcome::Unknown { .. } => self.with_timer(ResponseTimer::record_timeout),
        }
        outcome
    }

    pub async fn stop(&self, request: StopRequest) -> RequestOutcome {
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        let timeout_ms = self.with_timer(|timer| timer.timeout_ms());
        let response = tokio::time::timeout(timeout_ms.into(), self.client.stop(request)).await;
        response.unwrap_or_else(|_| no_response(timeout_ms))
    }

    fn with_timer<T>(&self, action: impl FnOnce(&mut ResponseTimer) -> T) -> T {
        let timer = self.response_timer.lock();
        action(&mut timer.unwrap_or_else(PoisonError::into_inner))
    }
}

fn no_response(timeout_ms: Millis) -> RequestOutcome {
    RequestOutcome::Unknown {
        message: format!("no response within {timeout_ms}"),
    }
}
