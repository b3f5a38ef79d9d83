//! Interfaces to run an entry on another platform, with that platform's HTTP paths and store in
//! place of the built-in ones.

use std::sync::Arc;

use axum::Router;
use dfs_conf::Config;
use dfs_conf::EvacuationUpdate;
use dfs_conf::Queue;
use dfs_ids::Millis;
use dfs_ids::QueueName;
use dfs_ids::SubmissionId;
use dfs_listen::RequestBudget;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::Readiness;
use dfs_policy::entry::Submission;
use dfs_store::Presence;
use dfs_store::ResultFuture;
use dfs_store::Revision;
use dfs_store::StoreError;
use dfs_wire::api::Answer;
use dfs_wire::api::FailureReason;
use tokio::sync::oneshot;

use crate::process::Command;
use crate::request::CorrelationIds;
use crate::request::OpenSubmission;
use crate::request::SharedState;

/// The parts of an entry that an adapter to another platform supplies.
pub struct EntryAdapter {
    /// Store of the presence rows, through which agents find entries.
    pub presence: Presence,
    /// Builds the HTTP routes for callers.
    pub router: Box<dyn FnOnce(Ingress) -> Router + Send>,
    /// Source of new versions of the configuration.
    pub feed: Box<dyn ConfigFeed>,
    /// Time within which a version must be active after the source has confirmed it.
    pub config_bound_ms: Millis,
}

/// A source of configuration versions.
pub trait ConfigFeed: Send + Sync {
    /// Reads the changes after a revision, or the whole configuration and all evacuations if there is none.
    ///
    /// Waits for up to `wait_ms` while there is no change, and then returns no configuration. Reads may
    /// overlap; the caller drops those that it no longer waits for.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryLost`] if the source no longer has the changes after the revision.
    fn read(
        &self,
        after: Option<Revision>,
        wait_ms: Millis,
    ) -> ResultFuture<'static, ConfigChanges, StoreError>;
}

/// Result of one read of a [`ConfigFeed`].
#[derive(Debug, Clone)]
pub struct ConfigChanges {
    /// The newest version in the changes that can be decoded.
    pub config: Option<Config>,
    /// Number of versions in the changes.
    pub versions: usize,
    /// What the changes say of evacuated failure domains.
    pub evacuations: EvacuationUpdate,
    /// Revision of the source up to which changes were read.
    pub revision: Revision,
    /// Size of the answer of the source.
    pub read_bytes: u64,
}

/// Accepts submissions from the HTTP routes of an [`EntryAdapter`].
#[derive(Clone)]
pub struct Ingress {
    pub(crate) state: Arc<SharedState>,
}

impl Ingress {
    /// Runs a submission to its answer; dropping the future cancels it. Its identifier must come
    /// from [`Self::next_submission_id`].
    pub async fn submit(&self, submission: Submission, ids: CorrelationIds) -> Answer {
        match OpenSubmission::register(Arc::clone(&self.state), None, &submission, ids) {
            Ok(open) => open.run(submission).await,
            Err(refusal) => refusal.into_answer(),
        }
    }

    /// Logs and counts a request that was refused before it became a submission.
    pub fn record_refusal(&self, ids: CorrelationIds, reason: FailureReason, cause: &str) {
        self.state.metrics.count_failure(reason);
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

    /// Budget for the bytes of requests, which all listeners of the process share.
    #[must_use]
    pub fn request_budget(&self) -> RequestBudget {
        self.state.budget.clone()
    }

    /// Returns an identifier that is unique among all entries.
    #[must_use]
    pub fn next_submission_id(&self) -> SubmissionId {
        self.state.next_submission_id()
    }

    /// The active configuration, `None` before the first one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state.active_config.current()
    }

    /// Finds the queue that serves this host and path.
    ///
    /// # Errors
    ///
    /// [`NoConfig`] before the first configuration, since the queues are not known yet.
    pub fn find_queue(&self, host: &str, path: &str) -> Result<Option<Queue>, NoConfig> {
        let queues = self.state.active_config.queues().ok_or(NoConfig)?;
        Ok(queues.find(host, path).cloned())
    }

    /// Waits for the first configuration if the process has only just started and the source of the
    /// configuration has not failed.
    pub async fn wait_for_first_config(&self) {
        self.state.active_config.wait_for_first().await;
    }

    /// Number of submissions of a queue at this entry of which no task has been placed yet.
    pub async fn unplaced_submissions(&self, queue: QueueName) -> u64 {
        let (reply, receiver) = oneshot::channel();
        self.state
            .core
            .send(Command::UnplacedSubmissions { queue, reply });
        // The core ends only with the process, and no submission waits without it.
        receiver.await.unwrap_or_default()
    }

    /// Whether the load balancer should open connections to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_serving() && *self.state.readiness.borrow() == Readiness::Ready
    }

    /// Whether no graceful shutdown has begun.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state.lifecycle.is_serving()
    }
}

/// The entry has not received a configuration yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoConfig;
