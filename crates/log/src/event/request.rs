//! 3xx: submissions of callers.

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Priority;
use dfs_ids::QueueName;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use dfs_wire::api::FailureReason;

use super::ErrorText;
use super::TaskList;
use super::catalogue::events;

events! {
    /// Submissions of callers.
    RequestEvent {
        /// A job or request was admitted.
        301 Info "submitted" Submitted {
            /// The submission.
            submission: SubmissionId,
            /// The caller's name of its request.
            request: Option<String>,
            /// The caller's name of its job.
            job: Option<String>,
            /// The caller's group.
            group: GroupId,
            /// Service of all its tasks.
            service: ServiceName,
            /// Queue that it was handed in to.
            queue: Option<QueueName>,
            /// Number of tasks.
            tasks: usize,
            /// Its priority.
            priority: Priority,
            /// Time in which the caller wants the answer.
            deadline_ms: Option<Millis>,
            /// Time in which the answer should be there.
            objective_ms: Option<Millis>,
            /// Version of the configuration in force.
            version: Option<ConfigVersion>,
        }
        /// A job or request was refused; nothing of it ran.
        302 Info "refused" Refused {
            /// The submission, if it got that far.
            submission: Option<SubmissionId>,
            /// The caller's name of its request.
            request: Option<String>,
            /// The caller's name of its job.
            job: Option<String>,
            /// The caller's group, if it is known.
            group: Option<GroupId>,
            /// Why.
            reason: FailureReason,
            /// The figures that decided it.
            cause: ErrorText,
            /// When a later try can help.
            retry_after_ms: Option<Millis>,
            /// Version of the configuration in force.
            version: Option<ConfigVersion>,
        }
        /// Every task ran and the caller got every result.
        303 Info "answered_complete" Complete {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Time from its arrival.
            response_ms: Millis,
        }
        /// The submission failed as a whole after it was admitted.
        304 Info "answered_failed" Failed {
            /// The submission.
            submission: SubmissionId,
            /// The caller's group.
            group: GroupId,
            /// Why.
            reason: FailureReason,
            /// The task and figures that decided it.
            cause: ErrorText,
            /// Tasks that ran or may have run.
            may_have_run: usize,
            /// Time from its arrival.
            response_ms: Millis,
        }
        /// The caller cancelled the submission.
        305 Info "cancelled" Cancelled {
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
        /// Tasks were handed to an agent.
        309 Info "placed" Placed {
            /// The submission.
            submission: SubmissionId,
            /// The agent.
            agent: AgentId,
            /// The tasks.
            tasks: TaskList,
            /// Load of the target with them as far as is known, in thousandths.
            load_permille: u32,
            /// Age of what is known of the load.
            hint_age_ms: Millis,
            /// Time since the submission arrived.
            age_ms: Millis,
        }
        /// A task that was placed is queued again.
        310 Info "queued_again" QueuedAgain {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt that is over.
            attempt: Attempt,
            /// Where it was.
            agent: AgentId,
            /// Why.
            cause: ErrorText,
        }
        /// A submission can't be answered when it is due any more; it goes behind those that can.
        311 Info "late" Late {
            /// The submission.
            submission: SubmissionId,
            /// Time since it arrived.
            age_ms: Millis,
        }
    }
}
