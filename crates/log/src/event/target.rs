//! 4xx: targets and the tasks on them.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_ids::TargetId;
use dfs_ids::TaskIndex;
use dfs_wire::session::NotRunReason;

use super::ErrorText;
use super::catalogue::events;

events! {
    /// Targets and the tasks on them.
    TargetEvent {
        /// A target announced itself to its agent, or changed its offer.
        401 Info "target_announced" Announced {
            /// The target.
            target: TargetId,
            /// Address on which it takes tasks.
            address: SocketAddr,
            /// Tasks that it runs at once.
            slots: Slots,
            /// Its lease.
            lease_ms: Millis,
        }
        /// The lease of a target ran out without a heartbeat; it gets no new work.
        402 Warn "heartbeat_missed" HeartbeatMissed {
            /// The target.
            target: TargetId,
            /// Time since its last heartbeat.
            silent_ms: Millis,
        }
        /// A target said that it leaves; it gets no new work.
        403 Info "target_goodbye" Goodbye {
            /// The target.
            target: TargetId,
            /// Tasks that still run on it.
            running_tasks: usize,
        }
        /// A target fails where others do well; it gets no work for a while.
        404 Warn "target_ejected" Ejected {
            /// The agent beside the target.
            agent: AgentId,
        }
        /// An ejected target gets work again.
        405 Info "target_returned" Returned {
            /// The agent beside the target.
            agent: AgentId,
        }
        /// A target answered a task with an error.
        406 Debug "task_failed" TaskFailed {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt.
            attempt: Attempt,
            /// The target.
            target: TargetId,
            /// What went wrong.
            error: ErrorText,
        }
        /// Tasks of a submission may have run and will never be known to have ended.
        407 Warn "outcome_unknown" OutcomeUnknown {
            /// The submission.
            submission: SubmissionId,
            /// How many.
            tasks: usize,
        }
        /// A group has no further attempts left for the moment.
        408 Warn "retry_budget_spent" RetryBudgetSpent {
            /// The group.
            group: GroupId,
        }
        /// The target does not answer its agent; it gets no new work.
        409 Warn "target_unreachable" Unreachable {
            /// Tasks that run there until their lease lapses.
            running_tasks: usize,
            /// Why.
            error: ErrorText,
        }
        /// The target answers its agent, and no run of an earlier life of the agent goes on there.
        410 Info "target_taken_over" TakenOver {
            /// Fencing token of all orders from now on.
            token: u64,
            /// Runs that were stopped for it.
            stopped_runs: usize,
        }
        /// What a target says of itself can't be read.
        411 Warn "heartbeat_unreadable" HeartbeatUnreadable {
            /// What is wrong with it.
            error: ErrorText,
        }
        /// An order to the target was not answered; later ones carry a higher fencing token.
        412 Warn "order_unanswered" OrderUnanswered {
            /// Task on the target.
            task: String,
            /// Fencing token of the later orders.
            token: u64,
            /// Why.
            error: ErrorText,
        }
        /// A task starts on the target.
        413 Info "run_started" RunStarted {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt.
            attempt: Attempt,
            /// Time in the queue of the agent.
            wait_ms: Millis,
            /// Load of the target with it, in thousandths.
            load_permille: u32,
        }
        /// A run has ended.
        414 Info "run_ended" RunEnded {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt.
            attempt: Attempt,
            /// How it ended.
            outcome: ErrorText,
            /// Time since its start.
            run_ms: Millis,
        }
        /// A task goes back to its entry; this attempt did not run and never will.
        415 Info "handed_back" HandedBack {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt.
            attempt: Attempt,
            /// Why.
            reason: NotRunReason,
            /// Load of the target, in thousandths.
            load_permille: u32,
        }
        /// A run is told to stop.
        416 Info "run_stopped" RunStopped {
            /// The submission.
            submission: SubmissionId,
            /// The task.
            task: TaskIndex,
            /// The attempt.
            attempt: Attempt,
            /// Why.
            cause: ErrorText,
        }
        /// Tasks take far longer on a target than elsewhere; they are fetched back.
        417 Warn "target_slow" Slow {
            /// The agent beside the target.
            agent: AgentId,
            /// Run time over the expected one, in thousandths.
            stretch_permille: u32,
        }
    }
}
