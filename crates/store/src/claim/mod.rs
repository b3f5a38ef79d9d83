//! Claims of request keys: at most one submission ever holds a key.

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

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The submission holds the key and may run.
    Claimed,
    /// Another submission holds the key; it may have run.
    Taken {
        /// The submission that holds the key.
        holder: SubmissionId,
    },
    /// It is not known that the submission holds the key, so it must not run.
    ///
    /// The key may still become this submission's afterwards.
    Unavailable {
        /// Why the claim was not made.
        reason: UnavailableReason,
        /// When a later try can help.
        retry_after_ms: Millis,
    },
}

/// Why a claim was not made.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum UnavailableReason {
    /// Too many claims wait already; nothing was written.
    #[snafu(display("{max_waiting} claims wait already"))]
    QueueFull {
        /// The limit.
        max_waiting: usize,
    },
    /// The claim was not confirmed in time.
    #[snafu(display("the claim was not confirmed within {max_wait_ms}"))]
    Timeout {
        /// The limit.
        max_wait_ms: Millis,
    },
    /// The table service did not confirm the claim.
    #[snafu(transparent)]
    Store {
        /// What happened.
        source: StoreError,
    },
    /// Claims are no longer made because the process stops.
    #[snafu(display("the process stops"))]
    Stopping,
}

/// Content of the row of a claimed key; never changed once written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The submission that holds the key.
    pub holder: SubmissionId,
}

/// Bounds of a [`Claimer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Most claims in one commit.
    pub max_batch: usize,
    /// Most claims that wait for a commit.
    pub max_waiting: usize,
    /// Longest time from the call to its outcome.
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

/// Where claims are made; [`Claimer`] is the one implementation that writes.
pub trait ClaimService: Send + Sync {
    /// Claims a key of a group for a submission.
    fn claim(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> impl Future<Output = ClaimOutcome> + Send;

    /// Gives back the key of a submission that certainly did not run and never will.
    ///
    /// # Errors
    ///
    /// The table service gave no usable reply; the key may stay taken.
    fn release(
        &self,
        group: &GroupId,
        key: &RequestKey,
        submission: SubmissionId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Makes claims; those that wait together share one commit.
#[derive(Clone)]
pub struct Claimer {
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    queue: mpsc::Sender<Waiting>,
    settings: ClaimSettings,
}

/// A claim without an outcome.
#[derive(Debug)]
struct Waiting {
    key: RowKey,
    submission: SubmissionId,
    outcome: oneshot::Sender<ClaimOutcome>,
}

/// Wait that is suggested to a caller whose claim could not be made.
const RETRY_AFTER_MS: Millis = Millis::new(1_000);

fn unavailable(reason: UnavailableReason) -> ClaimOutcome {
    ClaimOutcome::Unavailable {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

/// Row of a request key; a key belongs to its group.
fn claim_key(group: &GroupId, key: &RequestKey) -> RowKey {
    RowKey::new(format!("claim/{group}/{key}"))
}

impl Claimer {
    /// Starts a task on the current runtime that ends when all clones are dropped.
    #[must_use]
    pub fn spawn(
        table: Arc<dyn TableService>,
        budget: Arc<WriteBudget>,
        settings: ClaimSettings,
    ) -> Self {
        let (queue, waiting) = mpsc::channel(settings.max_waiting.max(1));
        tokio::spawn(batch::run(
            Arc::clone(&table),
            Arc::clone(&budget),
            waiting,
            settings.max_batch.max(1),
        ));
        Self {
            table,
            budget,
            queue,
            settings,
        }
    }

    async fn enqueue(&self, key: RowKey, submission: SubmissionId) -> ClaimOutcome {
        let (outcome, answer) = oneshot::channel();
        let waiting = Waiting {
            key,
            submission,
            outcome,
        };
        match self.queue.try_send(waiting) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                let max_waiting = self.settings.max_waiting;
                return unavailable(UnavailableReason::QueueFull { max_waiting });
            }
            Err(TrySendError::Closed(_)) => return unavailable(UnavailableReason::Stopping),
        }
        let max_wait_ms = self.settings.max_wait_ms;
        match tokio::time::timeout(max_wait_ms.into(), answer).await {
            Ok(Ok(claim)) => claim,
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
