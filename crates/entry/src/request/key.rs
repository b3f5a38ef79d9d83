//! Claims of request keys.

use std::sync::Arc;

use dfs_ids::GroupId;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use dfs_log::ErrorText;
use dfs_log::RequestEvent;
use dfs_policy::entry::Submission;
use dfs_store::Claim;
use dfs_store::Claims;
use dfs_wire::api::FailureReason;

use super::refuse::Refusal;
use super::routes::Native;

/// The key of a submission, claimed for it alone.
pub(super) struct KeyClaim {
    state: Arc<Native>,
    group: GroupId,
    key: RequestKey,
    holder: SubmissionId,
}

impl KeyClaim {
    /// Claims the key, or says why the submission may not run.
    pub async fn make(
        state: &Arc<Native>,
        submission: &Submission,
        key: RequestKey,
    ) -> Result<Self, Refusal> {
        let claim = Self {
            state: Arc::clone(state),
            group: submission.group.clone(),
            key,
            holder: submission.id.clone(),
        };
        let (submission, group) = (claim.holder.clone(), claim.group.clone());
        let claimer = &state.claimer;
        match claimer
            .claim(&claim.group, &claim.key, submission.clone())
            .await
        {
            Claim::Claimed => {
                dfs_log::emit(RequestEvent::KeyClaimed { submission, group });
                Ok(claim)
            }
            Claim::Taken { holder } => {
                dfs_log::emit(RequestEvent::KeyConflict { submission, group });
                let message = format!(
                    "request key {} belongs to submission {holder}, which may have run; \
                     this one did not",
                    claim.key
                );
                Err(Refusal::new(FailureReason::KeyConflict, message))
            }
            Claim::Unavailable {
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
                // The claim may have been made although its reply was lost.
                tokio::spawn(claim.release());
                let refusal = Refusal::new(FailureReason::KeyUnavailable, message);
                Err(refusal.retry_after(retry_after_ms))
            }
        }
    }

    /// Gives the key of a submission that did not run and never will back.
    pub async fn release(self) {
        let claimer = &self.state.claimer;
        // A key that could not be given back stays taken, which keeps the promise of one run.
        let _ = claimer.release(&self.group, &self.key, self.holder).await;
    }
}
