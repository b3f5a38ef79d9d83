//! Exclusive claims of request keys, which keep a repeated request from running twice: a key has at
//! most one holder at any time.

mod batch;
mod release;
mod settle;

use std::sync::Arc;

use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

use crate::RowKey;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Outcome of claiming a key for a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The submission holds the key and may run.
    Claimed,
    /// Another submission holds the key. That one may have run; this one must not.
    Taken {
        /// The submission that holds the key.
        holder: SubmissionId,
    },
    /// The claim was not confirmed, so the submission must not run.
    ///
    /// The submission may hold the key all the same, now or later.
    Unavailable {
        /// What kept the claim from being confirmed.
        reason: UnavailableReason,
        /// Suggested wait before another try.
        retry_after_ms: Millis,
    },
}

/// Why a claim was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum UnavailableReason {
    /// Too many claims are waiting; nothing was written.
    #[snafu(display("{max_waiting} claims wait already"))]
    QueueFull {
        /// [`ClaimSettings::max_waiting`].
        max_waiting: usize,
    },
    /// The claim was not confirmed in time; it may still be written.
    #[snafu(display("the claim was not confirmed within {max_wait_ms}"))]
    Timeout {
        /// [`ClaimSettings::max_wait_ms`].
        max_wait_ms: Millis,
    },
    /// The table service did not confirm the claim.
    #[snafu(transparent)]
    Store {
        /// Error of the last call.
        source: StoreError,
    },
    /// The task that commits claims has ended because the process is stopping.
    #[snafu(display("the process stops"))]
    Stopping,
}

/// Content of the row of a claimed key. Never updated; only a release deletes the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The submission that holds the key.
    pub holder: SubmissionId,
}

/// Limits of a [`Claimer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Largest number of claims in one commit.
    pub max_batch: usize,
    /// Largest number of claims in the queue; further ones are refused at once.
    pub max_waiting: usize,
    /// Longest time from the call of [`ClaimService::claim`] to its outcome.
    pub max_wait_ms: Millis,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            max_batch: 256,
            max_waiting: 4_096,
            max_wait_ms: Millis::new(5_000),
        }
    }
}

/// Claims and releases request keys. [`Claimer`] implements it on the table service.
pub trait ClaimService: Send + Sync {
    /// Claims a key for a submission. Groups have separate key spaces.
    fn claim(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> impl Future<Output = ClaimOutcome> + Send;

    /// Releases the key of a submission, which must certainly not have run and never run later.
    /// Does nothing if the submission does not hold the key.
    ///
    /// # Errors
    ///
    /// The read of the claim failed; the key may stay taken.
    fn release(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Claims keys in the table service. Claims that wait at the same time share one commit, which
/// keeps the number of writes low.
#[derive(Clone)]
pub struct Claimer {
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    queue: mpsc::Sender<PendingClaim>,
    settings: ClaimSettings,
}

/// A claim that has no outcome yet.
#[derive(Debug)]
struct PendingClaim {
    key: RowKey,
    submission: SubmissionId,
    /// Closed once the caller has stopped waiting.
    outcome: oneshot::Sender<ClaimOutcome>,
}

/// Wait suggested to the caller of a claim that was not confirmed.
const RETRY_AFTER_MS: Millis = Millis::new(1_000);

fn unavailable(reason: UnavailableReason) -> ClaimOutcome {
    ClaimOutcome::Unavailable {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

/// Key of the row of a request key.
fn claim_key(group: &GroupId, key: &RequestKey) -> RowKey {
    RowKey::new(format!("claim/{group}/{key}"))
}

impl Claimer {
    /// Starts the task that commits claims, on the current Tokio runtime. It ends when all clones
    /// of the claimer are dropped. Zero counts as one in `max_batch` and `max_waiting`.
    #[must_use]
    pub fn spawn(
        table: Arc<dyn TableService>,
        budget: Arc<WriteBudget>,
        settings: ClaimSettings,
    ) -> Self {
        let (queue, claims) = mpsc::channel(settings.max_waiting.max(1));
        tokio::spawn(batch::run(
            Arc::clone(&table),
            Arc::clone(&budget),
            claims,
            settings.max_batch.max(1),
        ));
        Self {
            table,
            budget,
            queue,
            settings,
        }
    }

    /// Queues a claim and waits for its outcome.
    async fn enqueue(&self, key: RowKey, submission: SubmissionId) -> ClaimOutcome {
        let (outcome, receiver) = oneshot::channel();
        let claim = PendingClaim {
            key,
            submission,
            outcome,
        };
        match self.queue.try_send(claim) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                let max_waiting = self.settings.max_waiting;
                return unavailable(UnavailableReason::QueueFull { max_waiting });
            }
            Err(TrySendError::Closed(_)) => return unavailable(UnavailableReason::Stopping),
        }
        let max_wait_ms = self.settings.max_wait_ms;
        match tokio::time::timeout(max_wait_ms.into(), receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => unavailable(UnavailableReason::Stopping),
            Err(_) => unavailable(UnavailableReason::Timeout { max_wait_ms }),
        }
    }
}

impl ClaimService for Claimer {
    async fn claim(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> ClaimOutcome {
        self.enqueue(claim_key(group, key), submission).await
    }

    async fn release(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> Result<(), StoreError> {
        let (table, budget) = (Arc::clone(&self.table), Arc::clone(&self.budget));
        release::release(table, budget, claim_key(group, key), submission).await
    }
}
