//! Outcomes of the submissions of a load.

use std::time::Duration;

use derive_more::Display;
use dfs_wire::api::FailureReason;
use serde::Serialize;

use crate::client::CallError;

/// Outcome of a submission, as counted in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(untagged)]
pub enum OutcomeKind {
    /// Determined by the load tool.
    Observed(ObservedOutcome),
    /// Failed with a reason reported by the entry.
    Failed(FailureReason),
}

/// Outcomes that the load tool determines itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservedOutcome {
    /// Every result holds the echo text of its own task.
    #[display("complete")]
    Complete,
    /// Results are missing, or belong to another task or submission.
    #[display("wrong_answer")]
    WrongAnswer,
    /// Not sent because `max_open` submissions were open.
    #[display("not_sent")]
    NotSent,
    /// The request could not be sent to the entry.
    #[display("unreachable")]
    Unreachable,
    /// No complete reply arrived: the connection closed or the call timed out.
    #[display("reply_lost")]
    ReplyLost,
    /// The reply could not be read as an answer.
    #[display("broken_reply")]
    BrokenReply,
    /// Still open when the drain time was over.
    #[display("unfinished")]
    Unfinished,
}

/// A submission that has ended, with its size.
#[derive(Debug, Clone)]
pub struct EndedSubmission {
    /// Index of its group in the mix.
    pub group: usize,
    /// Index of its class in the mix.
    pub class: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// Sum of the run times of the tasks.
    pub work: Duration,
    /// Time from the scheduled arrival to sending.
    pub send_lag: Duration,
    /// Outcome, with the response time if complete.
    pub end: End,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy)]
pub enum End {
    /// Every result arrived and belongs to the submission.
    Complete {
        /// Time from sending to the complete answer.
        response: Duration,
        /// Shortest possible response time: longest task plus round trip.
        ideal: Duration,
    },
    /// Any other outcome.
    Other {
        /// Outcome as counted in the report.
        kind: OutcomeKind,
        /// Whether it is certain that no task ran.
        not_run: bool,
    },
}

impl End {
    /// Returns the outcome, and whether it is certain that no task ran.
    #[must_use]
    pub const fn kind(self) -> (OutcomeKind, bool) {
        match self {
            Self::Complete { .. } => (OutcomeKind::Observed(ObservedOutcome::Complete), false),
            Self::Other { kind, not_run } => (kind, not_run),
        }
    }
}

impl From<ObservedOutcome> for End {
    fn from(observed: ObservedOutcome) -> Self {
        Self::Other {
            kind: OutcomeKind::Observed(observed),
            not_run: matches!(
                observed,
                ObservedOutcome::NotSent | ObservedOutcome::Unreachable
            ),
        }
    }
}

impl From<&CallError> for End {
    fn from(error: &CallError) -> Self {
        let observed = match error {
            CallError::Unreachable { .. } | CallError::Malformed { .. } => {
                ObservedOutcome::Unreachable
            }
            CallError::ReplyLost { .. }
            | CallError::Timeout { .. }
            | CallError::Interrupted { .. } => ObservedOutcome::ReplyLost,
            CallError::Refused { failure, .. } => {
                return Self::Other {
                    kind: OutcomeKind::Failed(failure.reason),
                    not_run: failure.not_run,
                };
            }
            CallError::Unexpected { .. } => ObservedOutcome::BrokenReply,
            CallError::WrongSubmission { .. } | CallError::Partial { .. } => {
                ObservedOutcome::WrongAnswer
            }
        };
        observed.into()
    }
}
