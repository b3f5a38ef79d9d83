//! Response body of a submission. Each submission gets exactly one.

use derive_more::Display;
use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Overall outcome of a submission; there is no partial success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task succeeded.
    #[display("complete")]
    Complete,
    /// The submission was refused, or at least one task did not succeed; no result is returned.
    #[display("failed")]
    Failed,
}

/// Response body of a job or single request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Identifier of the submission; absent if it was refused before it was assigned one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// Whether the submission completed or failed.
    pub outcome: Outcome,
    /// One result for each task, in the order of submission; empty if the submission failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<Box<RawValue>>,
    /// Present if and only if the submission failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
}

/// Why a submission failed, and whether it may be submitted again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Machine-readable reason; determines the HTTP status.
    pub reason: FailureReason,
    /// Human-readable message with the offending value and how to proceed.
    pub message: String,
    /// Whether it is certain that no task of the submission has started or will start.
    pub not_run: bool,
    /// Tasks that have run or may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub may_have_run: Vec<TaskIndex>,
    /// Tasks to which their target responded with an error.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<TaskError>,
    /// Delay after which a retry may succeed; absent if no delay can be given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// Error that a target returned for a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskError {
    /// Position of the failed task in the submission.
    pub task: TaskIndex,
    /// Error message of the target.
    pub message: String,
}

/// Reason why a submission failed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The body, a header or the path is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The token belongs to no group or operator.
    #[display("unknown_token")]
    UnknownToken,
    /// The group may not use this service, or the token may not use this path.
    #[display("forbidden")]
    Forbidden,
    /// No submission with this identifier is open at this entry.
    #[display("unknown_submission")]
    UnknownSubmission,
    /// The body exceeds the size limit.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive before the timeout.
    #[display("body_timeout")]
    BodyTimeout,
    /// No target in the inventory could ever run the submission.
    #[display("impossible")]
    Impossible,
    /// The request key is already claimed by another submission.
    #[display("key_conflict")]
    KeyConflict,
    /// The request key could not be claimed in the store.
    #[display("key_unavailable")]
    KeyUnavailable,
    /// Too much work is queued for the group or at the entry.
    #[display("overloaded")]
    Overloaded,
    /// The work queued ahead of the submission would take longer than its deadline allows.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// Currently no live target offers the service to this group.
    #[display("no_target")]
    NoTarget,
    /// The entry has no configuration yet or is shutting down.
    #[display("not_ready")]
    NotReady,
    /// The retries were used up before every task had started.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The caller cancelled the submission.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed before every task had completed.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// A target responded to a task with an error.
    #[display("task_failed")]
    TaskFailed,
    /// The target or its agent was lost while a task was placed there; the task may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl FailureReason {
    /// HTTP status code of the response.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownToken => 401,
            Self::Forbidden => 403,
            Self::UnknownSubmission => 404,
            Self::BodyTimeout => 408,
            Self::KeyConflict | Self::Cancelled => 409,
            Self::TooLarge => 413,
            Self::Impossible => 422,
            Self::Overloaded => 429,
            Self::TaskFailed | Self::OutcomeUnknown => 502,
            Self::KeyUnavailable
            | Self::DeadlineUnreachable
            | Self::NoTarget
            | Self::NotReady
            | Self::RetriesExhausted => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}
