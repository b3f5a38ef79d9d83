//! 4xx: targets and their tasks.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::QueueName;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_ids::TargetId;
use dfs_ids::TaskIndex;
use dfs_wire::session::NotRunReason;

use super::AccusedTasks;
use super::ErrorText;
use super::catalogue::events;

events! {
    /// Events of targets and their tasks.
    TargetEvent {
        /// A target announced itself to its agent, or changed its announcement.
        401 Info "target_announced" Announced {
            /// Identifier of the target.
            target: TargetId,
            /// Address to which tasks are sent.
            address: SocketAddr,
            /// Number of tasks that it runs concurrently.
            slots: Slots,
            /// Time without a heartbeat after which the announcement expires.
            lease_ms: Millis,
        }
        /// The lease of a target expired without a heartbeat; it gets no new tasks.
        402 Warn "heartbeat_missed" HeartbeatMissed {
            /// Identifier of the target.
            target: TargetId,
            /// Time since its last heartbeat.
            silent_ms: Millis,
        }
        /// A target announced that it is leaving; it gets no new tasks.
        403 Info "target_goodbye" Goodbye {
            /// Identifier of the target.
            target: TargetId,
            /// Number of tasks that are still running on it.
            running_tasks: usize,
        }
        /// Tasks fail on a target but not on others; it is excluded from placement for a while.
        404 Warn "target_ejected" Ejected {
            /// Agent of the target.
            agent: AgentId,
        }
        /// An ejected target is eligible for placement again.
        405 Info "target_returned" Returned {
            /// Agent of the target.
            agent: AgentId,
        }
        /// A target answered a task with an error.
        406 Debug "task_failed" TaskFailed {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Identifier of the target.
            target: TargetId,
            /// Error from the target.
            error: ErrorText,
        }
        /// Tasks of a submission may have run, and their outcome can no longer be determined.
        407 Warn "outcome_unknown" OutcomeUnknown {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Number of such tasks.
            tasks: usize,
        }
        /// The retry budget of a group is used up for now.
        408 Warn "retry_budget_spent" RetryBudgetSpent {
            /// Group that the budget belongs to.
            group: GroupId,
        }
        /// The target does not respond to its agent; it gets no new tasks.
        409 Warn "target_unreachable" Unreachable {
            /// Number of tasks that keep running on it until their lease expires.
            running_tasks: usize,
            /// Error of the last poll.
            error: ErrorText,
        }
        /// The agent has taken over the target: it responds, and no run of an earlier incarnation of
        /// the agent continues on it.
        410 Info "target_taken_over" TakenOver {
            /// Fencing token of the agent's requests from now on.
            token: u64,
            /// Number of runs of earlier incarnations that were stopped.
            stopped_runs: usize,
            /// What has shown that no earlier run continues.
            evidence: ErrorText,
        }
        /// A target sent a malformed heartbeat.
        411 Warn "heartbeat_unreadable" HeartbeatUnreadable {
            /// Decoding error.
            error: ErrorText,
        }
        /// The target did not respond to a start request; later requests carry a higher fencing token.
        412 Warn "order_unanswered" OrderUnanswered {
            /// Name of the task on the target.
            task: String,
            /// Fencing token of the later requests.
            token: u64,
            /// Error of the start request.
            error: ErrorText,
        }
        /// A task was started on the target.
        413 Info "run_started" RunStarted {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Time in the queue of the agent.
            wait_ms: Millis,
            /// Load of the target including this task, in thousandths.
            load_permille: u32,
        }
        /// A run has ended.
        414 Info "run_ended" RunEnded {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Outcome of the run.
            outcome: ErrorText,
            /// Run time.
            run_ms: Millis,
        }
        /// An agent returned a task to its entry; this attempt did not run and never will.
        415 Info "handed_back" HandedBack {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Reason that is sent to the entry.
            reason: NotRunReason,
            /// Load of the target, in thousandths.
            load_permille: u32,
        }
        /// The agent requested that a run be stopped.
        416 Info "run_stopped" RunStopped {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Cause of the request.
            cause: ErrorText,
        }
        /// Tasks run far longer on a target than on others; its tasks are withdrawn.
        417 Warn "target_slow" Slow {
            /// Agent of the target.
            agent: AgentId,
            /// Ratio of run time to expected run time, in thousandths.
            stretch_permille: u32,
        }
        /// A restarted agent could not read what its predecessor knew of the target.
        418 Info "target_not_recalled" NotRecalled {
            /// Error of the store.
            error: ErrorText,
        }
        /// A run has failed, or the target does not accept its task.
        419 Warn "run_failed" RunFailed {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Name of the task on the target.
            name: String,
            /// Number of the run on the target.
            run: Option<u32>,
            /// Number of the end in the target's list; absent if the target did not list it.
            sequence: Option<u64>,
            /// Incarnation of the target that listed the end.
            target_incarnation: Option<u64>,
            /// Why it counts as failed.
            error: ErrorText,
        }
        /// The target refused to start a run, other than for lack of capacity.
        420 Warn "start_refused" StartRefused {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Name of the task on the target.
            name: String,
            /// Number of the run that was requested.
            run: u32,
            /// Reason given by the target.
            refusal: ErrorText,
        }
        /// Another incarnation of the target answers its agent.
        421 Warn "target_restarted" Restarted {
            /// Incarnation that was known before.
            previous: Option<u64>,
            /// The new incarnation; absent if the target has not named it yet.
            current: Option<u64>,
            /// Number of tasks that were running or may have been running on the previous one.
            running_tasks: usize,
        }
        /// The target started anew, unplanned, while tasks ran on it, or has not listened for the time of a lease.
        422 Warn "target_crashed" Crashed {
            /// Number of tasks that ran on it.
            running_tasks: usize,
            /// Some of these tasks, each with the number of targets that had crashed under it before.
            tasks: AccusedTasks,
        }
        /// An agent has reported a crash of its target.
        423 Info "crash_reported" CrashReported {
            /// Agent of the target.
            agent: AgentId,
            /// Number of tasks that ran on the target.
            running_tasks: usize,
            /// Time since the agent noticed it.
            age_ms: Millis,
        }
        /// The tasks of a queue may use only some targets, because they crash targets.
        424 Warn "queue_contained" QueueContained {
            /// The queue.
            queue: QueueName,
            /// Number of targets that its tasks may use.
            targets: usize,
            /// Number of targets of its service, as far as known.
            service_targets: usize,
        }
        /// The tasks of a queue may use all targets again.
        425 Info "queue_released" QueueReleased {
            /// The queue.
            queue: QueueName,
        }
        /// A heartbeat was dropped because the target's own answers contradict it.
        426 Warn "heartbeat_rejected" HeartbeatRejected {
            /// Id that the heartbeat named.
            target: TargetId,
            /// Incarnation that the heartbeat named.
            incarnation: Option<u64>,
            /// Incarnation that answers; absent if it is not known.
            current: Option<u64>,
        }
        /// The agent takes a run for over whose end the target has not listed.
        427 Warn "run_end_concluded" RunEndConcluded {
            /// Identifier of the submission.
            submission: SubmissionId,
            /// Index of the task.
            task: TaskIndex,
            /// Number of the attempt.
            attempt: Attempt,
            /// Name of the task on the target.
            name: String,
            /// Number of the run on the target.
            run: Option<u32>,
            /// Time until the last lease of the run is certainly over.
            lease_left_ms: Millis,
            /// Why the run is over.
            evidence: ErrorText,
        }
        /// The target lists a run that this agent process has not started, or takes for over; it is stopped.
        428 Warn "stray_run" StrayRun {
            /// Name of the task on the target.
            name: String,
            /// Number of the run on the target.
            run: u32,
        }
    }
}
