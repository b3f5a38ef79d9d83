//! The one final answer of a submission.

use derive_more::Display;
use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Whether a submission was answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ran and answered.
    #[display("complete")]
    Complete,
    /// The submission as a whole has no result.
    #[display("failed")]
    Failed,
}

/// Body of the answer to a job or request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The submission, absent if the request was refused before it got a name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// Complete or failed, never partial.
    pub outcome: Outcome,
    /// One result for each task in the order of submission; empty unless complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<Box<RawValue>>,
    /// Present if and only if the outcome is failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
}

/// Why a submission failed and what the caller may do next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind of failure.
    pub reason: FailureReason,
    /// The offending value and what to do, for a reader.
    pub message: String,
    /// True only if it is certain that no task of the submission started or will start.
    pub not_run: bool,
    /// Tasks that ran or may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub may_have_run: Vec<TaskIndex>,
    /// Tasks that the target answered with an error.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<TaskError>,
    /// When a later try can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// One task that failed on its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskError {
    /// The task.
    pub task: TaskIndex,
    /// What the target said.
    pub message: String,
}

/// The kinds of failure.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The body, a header or a path is malformed.
    #[display("bad_request")]
    BadRequest,
    /// No group or operator has this token.
    #[display("unknown_token")]
    UnknownToken,
    /// The group may not use this service, or the token may not use this path.
    #[display("forbidden")]
    Forbidden,
    /// No submission with this name is open at this entry.
    #[display("unknown_submission")]
    UnknownSubmission,
    /// The body exceeds its limit.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive within its time.
    #[display("body_timeout")]
    BodyTimeout,
    /// No target of the inventory can ever run this.
    #[display("impossible")]
    Impossible,
    /// Another submission holds the request key.
    #[display("key_conflict")]
    KeyConflict,
    /// The claim of the request key could not be made.
    #[display("key_unavailable")]
    KeyUnavailable,
    /// The group or the entry has too much work queued.
    #[display("overloaded")]
    Overloaded,
    /// The work queued before this submission exceeds its deadline.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// No live target offers the service to this group at the moment.
    #[display("no_target")]
    NoTarget,
    /// The entry holds no configuration yet or is about to stop.
    #[display("not_ready")]
    NotReady,
    /// The retry budget was spent before every task had started.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The caller cancelled the submission.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// A target answered a task with an error.
    #[display("task_failed")]
    TaskFailed,
    /// The target or its agent was lost while a task was there.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

impl FailureReason {
    /// HTTP status that goes with the failure.
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
