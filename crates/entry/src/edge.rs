//! What an entry of another host uses in place of the product's own interface and store.

use std::sync::Arc;

use axum::Router;
use dfs_conf::Config;
use dfs_conf::Queue;
use dfs_ids::QueueName;
use dfs_ids::SubmissionId;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::Readiness;
use dfs_policy::entry::Submission;
use dfs_store::Pending;
use dfs_store::Presence;
use dfs_store::StoreError;
use dfs_wire::api::Answer;
use dfs_wire::api::FailureReason;
use tokio::sync::oneshot;

use crate::process::Command;
use crate::request::CorrelationIds;
use crate::request::Open;
use crate::request::State;

/// Parts of an entry that depend on its host.
pub struct EntryAdapter {
    /// Where presence rows are kept.
    pub presence: Presence,
    /// Makes the paths for callers.
    pub router: Box<dyn FnOnce(Ingress) -> Router + Send>,
    /// Versions of the configuration as they come.
    pub feed: Box<dyn ConfigFeed>,
}

/// Where versions of the configuration come from.
pub trait ConfigFeed: Send {
    /// Waits for changes, and returns the versions that they bring; an empty list after a while without
    /// any, so that a silent store is noticed.
    fn next(&mut self) -> Pending<'_, Vec<Config>, StoreError>;
}

/// Hands submissions in.
#[derive(Clone)]
pub struct Ingress {
    pub(crate) state: Arc<State>,
}

impl Ingress {
    /// Runs a submission; dropping the future cancels it. The submission's name must be one of
    /// [`Self::next_submission_id`].
    pub async fn submit(&self, submission: Submission, ids: CorrelationIds) -> Answer {
        match Open::register(Arc::clone(&self.state), None, &submission, ids) {
            Ok(open) => open.run(submission).await,
            Err(refusal) => refusal.into_answer(),
        }
    }

    /// Records a request that was refused before it became a submission.
    pub fn record_refusal(&self, ids: CorrelationIds, reason: FailureReason, cause: &str) {
        self.state.metrics.refused(reason);
        dfs_log::emit(RequestEvent::Refused {
            submission: None,
            request: ids.request,
            job: ids.job,
            group: None,
            reason,
            cause: ErrorText::from(cause),
            retry_after_ms: None,
            version: self.config().map(|config| config.version),
        });
    }

    /// A name that no other submission has.
    #[must_use]
    pub fn next_submission_id(&self) -> SubmissionId {
        self.state.next_submission_id()
    }

    /// The configuration in force, none before the first.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state.holder.held()
    }

    /// The queue that a caller means; an error before the first configuration.
    ///
    /// # Errors
    ///
    /// No configuration is held.
    pub fn find_queue(&self, host: &str, path: &str) -> Result<Option<Queue>, NoConfig> {
        let queues = self.state.holder.queues().ok_or(NoConfig)?;
        Ok(queues.find(host, path).cloned())
    }

    /// Submissions of a queue of which no task was placed at this entry.
    pub async fn count_waiting(&self, queue: QueueName) -> u64 {
        let (reply, waiting) = oneshot::channel();
        self.state.core.send(Command::Waiting { queue, reply });
        // The core outlives every request; after it nothing waits.
        waiting.await.unwrap_or_default()
    }

    /// Whether the balancer should open connections to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_serving() && *self.state.readiness.borrow() == Readiness::Ready
    }

    /// Whether no planned stop has begun.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state.gate.is_serving()
    }
}

/// No configuration is held yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoConfig;
