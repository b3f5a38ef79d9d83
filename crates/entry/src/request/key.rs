//! Request keys, by which a request that a caller repeats runs only once.

use std::sync::Arc;

use dfs_ids::GroupId;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::Submission;
use dfs_store::ClaimOutcome;
use dfs_store::ClaimService;
use dfs_wire::api::FailureReason;

use super::refuse::Refusal;
use super::routes::ApiState;

/// A request key that is claimed for one submission.
pub(super) struct ClaimedKey {
    state: Arc<ApiState>,
    group: GroupId,
    key: RequestKey,
    submission: SubmissionId,
}

impl ClaimedKey {
    /// Claims the key, or returns the refusal with which the submission is answered.
    pub async fn claim(
        state: &Arc<ApiState>,
        submission: &Submission,
        key: RequestKey,
    ) -> Result<Self, Refusal> {
        let claim = Self {
            state: Arc::clone(state),
            group: submission.group.clone(),
            key,
            submission: submission.id.clone(),
        };
        let (submission, group) = (claim.submission.clone(), claim.group.clone());
        let claimer = &state.claimer;
        match claimer
            .claim(&claim.group, &claim.key, submission.clone())
            .await
        {
            ClaimOutcome::Claimed => {
                dfs_log::emit(RequestEvent::KeyClaimed { submission, group });
                Ok(claim)
            }
            ClaimOutcome::Taken { holder } => {
                dfs_log::emit(RequestEvent::KeyConflict { submission, group });
                let message = format!(
                    "request key {} belongs to submission {holder}, which may have run; \
                     this one did not",
                    claim.key
                );
                Err(Refusal::new(FailureReason::KeyConflict, message))
            }
            ClaimOutcome::Unavailable {
                reason,
                retry_after_ms,
            } => {
                let error = ErrorText::new(&reason);
                dfs_log::emit(RequestEvent::KeyUnavailable {
                    submission,
                    group,
                    error,
                });
                let message = format!("request key {} could not be claimed: {reason}", claim.key);
                // The claim may have succeeded although its reply was lost.
                tokio::spawn(claim.release());
                let refusal = Refusal::new(FailureReason::KeyUnavailable, message);
                Err(refusal.retry_after(retry_after_ms))
            }
        }
    }

    /// Releases the key. Only for a submission that did not run and never will.
    pub async fn release(self) {
        let claimer = &self.state.claimer;
        // A key that could not be released stays claimed. That is safe: a repeated request with it
        // is refused, and nothing runs twice.
        let _ = claimer
            .release(&self.group, &self.key, self.submission)
            .await;
    }
}
