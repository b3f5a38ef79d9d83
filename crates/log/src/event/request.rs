//! 3xx: submissions of callers.

use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::ErrorText;
use super::catalogue::events;

events! {
    /// Submissions of callers.
    RequestEvent {
        /// A job or request was admitted.
        301 Debug "submitted" Submitted {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Service of all its tasks.
            service: ServiceName,
            /// Number of tasks.
            tasks: usize,
        }
        /// A job or request was refused; nothing of it ran.
        302 Debug "refused" Refused {
            /// The caller's group, if the token is known.
            group: Option<GroupId>,
            /// Why.
            reason: FailureReason,
            /// When a later try can help.
            retry_after_ms: Option<Millis>,
        }
        /// Every task ran and the caller got every result.
        303 Debug "answered_complete" Complete {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Time from its arrival.
            response_ms: Millis,
        }
        /// The submission failed as a whole after it was admitted.
        304 Debug "answered_failed" Failed {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Why.
            reason: FailureReason,
            /// Tasks that ran or may have run.
            may_have_run: usize,
            /// Time from its arrival.
            response_ms: Millis,
        }
        /// The caller cancelled the submission.
        305 Debug "cancelled" Cancelled {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Tasks that ran or may have run.
            may_have_run: usize,
        }
        /// The request key was claimed for the submission.
        306 Debug "key_claimed" KeyClaimed {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
        }
        /// Another submission holds the request key.
        307 Info "key_conflict" KeyConflict {
            /// The submission that was refused.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
        }
        /// The request key could not be claimed in the table service.
        308 Warn "key_unavailable" KeyUnavailable {
            /// The submission that was refused.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Why.
            error: ErrorText,
        }
    }
}
