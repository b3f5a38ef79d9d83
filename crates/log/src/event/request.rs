//! 3xx: submissions from callers.

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::JobName;
use dfs_ids::Label;
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
    /// Events of submissions.
    RequestEvent {
        /// A job or request was admitted.
        301 Info "submitted" Submitted {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Request identifier chosen by the caller.
            request: Option<String>,
            /// Job identifier chosen by the caller.
            job: Option<String>,
            /// Group of the caller.
            group: GroupId,
            /// Service that runs the tasks.
            service: ServiceName,
            /// Queue to which it was submitted.
            queue: Option<QueueName>,
            /// Number of tasks.
            tasks: usize,
            /// Priority of the submission.
            priority: Priority,
            /// Deadline of the caller, from the arrival of the submission.
            deadline_ms: Option<Millis>,
            /// Latency objective, from the arrival of the submission.
            objective_ms: Option<Millis>,
            /// Active version of the configuration.
            version: Option<ConfigVersion>,
        }
        /// A job or request was refused; none of its tasks ran.
        302 Info "refused" Refused {
            /// Identifier of the submission; absent if it was refused before it got one.
            submission: Option<SubmissionId>,
            /// Request identifier chosen by the caller.
            request: Option<String>,
            /// Job identifier chosen by the caller.
            job: Option<String>,
            /// Group of the caller, if known.
            group: Option<GroupId>,
            /// Reason that the caller received.
            reason: FailureReason,
            /// Message that the caller received, with the figures behind the refusal.
            cause: ErrorText,
            /// Delay after which a retry can succeed.
            retry_after_ms: Option<Millis>,
            /// Active version of the configuration.
            version: Option<ConfigVersion>,
        }
        /// Every task succeeded and the caller received all results.
        303 Info "answered_complete" Complete {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
            /// Time since the submission arrived.
            response_ms: Millis,
        }
        /// The submission failed as a whole after it was admitted.
        304 Info "answered_failed" Failed {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
            /// Reason that the caller received.
            reason: FailureReason,
            /// Message that the caller received, with the task and the figures behind the failure.
            cause: ErrorText,
            /// Number of tasks that ran or may have run.
            may_have_run: usize,
            /// Time since the submission arrived.
            response_ms: Millis,
        }
        /// The caller cancelled the submission.
        305 Info "cancelled" Cancelled {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
            /// Number of tasks that ran or may have run.
            may_have_run: usize,
        }
        /// The request key was claimed for the submission.
        306 Debug "key_claimed" KeyClaimed {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
        }
        /// The request key is already claimed by another submission.
        307 Info "key_conflict" KeyConflict {
            /// Identifier of the refused submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
        }
        /// The request key could not be claimed in the table service.
        308 Warn "key_unavailable" KeyUnavailable {
            /// Identifier of the refused submission.
            submission: SubmissionId,
            /// Group of the caller.
            group: GroupId,
            /// Error of the claim.
            error: ErrorText,
        }
        /// Tasks of a submission were sent to an agent.
        309 Info "placed" Placed {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Agent that received them.
            agent: AgentId,
            /// Tasks with their attempts.
            tasks: TaskList,
            /// Last known load of the target including these tasks, in thousandths.
            load_permille: u32,
            /// Age of the load hint on which the load is based.
            hint_age_ms: Millis,
            /// Time since the submission arrived.
            age_ms: Millis,
        }
        /// A placed task is back in the queue.
        310 Info "queued_again" QueuedAgain {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Attempt that has ended.
            attempt: Attempt,
            /// Agent on which it was placed.
            agent: AgentId,
            /// Why the attempt has ended.
            cause: ErrorText,
        }
        /// A queued submission can no longer meet its latency objective; it is moved behind those
        /// that can.
        311 Info "late" Late {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Time since the submission arrived.
            age_ms: Millis,
        }
        /// A failed run of a task counts towards the limit of its submission.
        312 Warn "failure_counted" FailureCounted {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Attempt that failed.
            attempt: Attempt,
            /// Agent that reported the failure.
            agent: AgentId,
            /// Failed runs of the task so far, including this one.
            failed_runs: u32,
            /// Number of failed runs at which the submission fails; absent if there is no limit.
            max_failures: Option<u32>,
            /// The same limit when the submission arrived, which holds once its queue is gone.
            submitted_max_failures: Option<u32>,
            /// Active version of the configuration.
            version: Option<ConfigVersion>,
        }
        /// A task is not run again, because targets have crashed under it; its job fails.
        313 Warn "task_given_up" TaskGivenUp {
            /// Name of the job.
            job: JobName,
            /// Index of the task.
            task: TaskIndex,
            /// Number of targets that have crashed under it.
            crashes: u32,
        }
        /// Tasks that prefer targets near their data were sent to an agent.
        314 Info "placed_by_data" PlacedByData {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Agent that received them.
            agent: AgentId,
            /// Label of the targets near the data.
            near: Label,
            /// Whether the target has the label.
            is_near: bool,
            /// Number of tasks.
            tasks: u64,
            /// Number of those that have waited for a near target while others had room.
            waited_tasks: u64,
            /// Sum of the times that these have waited.
            waited_ms: Millis,
            /// Sum of the run times that these are expected to save.
            saved_ms: Millis,
        }
    }
}
