//! How one submission of the load ended.

use std::time::Duration;

use derive_more::Display;
use dfs_wire::api::FailureReason;
use serde::Serialize;

use crate::client::CallError;

/// Kind of outcome, as counted in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(untagged)]
pub enum OutcomeKind {
    /// As the load tool saw it.
    Seen(SeenOutcome),
    /// Failed for a reason that the entry gave.
    Failed(FailureReason),
}

/// Outcomes that the load tool finds out itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SeenOutcome {
    /// Every task answered with its own echo.
    #[display("complete")]
    Complete,
    /// The answer is not whole or holds another's echo.
    #[display("wrong_answer")]
    WrongAnswer,
    /// The bound on open submissions was reached.
    #[display("not_sent")]
    NotSent,
    /// The connection was refused.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke.
    #[display("reply_lost")]
    ReplyLost,
    /// The reply is not an answer.
    #[display("broken_reply")]
    BrokenReply,
    /// No answer had come when the load stopped.
    #[display("unfinished")]
    Unfinished,
}

/// A submission that has ended.
#[derive(Debug, Clone)]
pub struct Settled {
    /// Index of its group in the mix.
    pub group: usize,
    /// Index of its class in the mix.
    pub class: usize,
    /// Its tasks.
    pub tasks: usize,
    /// Sum of the run times of its tasks.
    pub work: Duration,
    /// Time between its arrival and its being sent.
    pub send_lag: Duration,
    /// How it ended.
    pub end: End,
}

/// How a submission ended.
#[derive(Debug, Clone, Copy)]
pub enum End {
    /// Whole and its own.
    Complete {
        /// Time from sending to the whole answer.
        response: Duration,
        /// Shortest possible time.
        ideal: Duration,
    },
    /// Any other outcome.
    Other {
        /// The kind.
        kind: OutcomeKind,
        /// Whether it is certain that nothing ran.
        not_run: bool,
    },
}

impl End {
    /// Its kind, and whether it is certain that nothing ran.
    #[must_use]
    pub const fn kind(self) -> (OutcomeKind, bool) {
        match self {
            Self::Complete { .. } => (OutcomeKind::Seen(SeenOutcome::Complete), false),
            Self::Other { kind, not_run } => (kind, not_run),
        }
    }
}

impl From<SeenOutcome> for End {
    fn from(seen: SeenOutcome) -> Self {
        Self::Other {
            kind: OutcomeKind::Seen(seen),
            not_run: matches!(seen, SeenOutcome::NotSent | SeenOutcome::Unreachable),
        }
    }
}

impl From<&CallError> for End {
    fn from(error: &CallError) -> Self {
        let seen = match error {
            CallError::Unreachable { .. } | CallError::Malformed { .. } => SeenOutcome::Unreachable,
            CallError::ReplyLost { .. }
            | CallError::Timeout { .. }
            | CallError::Interrupted { .. } => SeenOutcome::ReplyLost,
            CallError::Refused { failure, .. } => {
                return Self::Other {
                    kind: OutcomeKind::Failed(failure.reason),
                    not_run: failure.not_run,
                };
            }
            CallError::Unexpected { .. } => SeenOutcome::BrokenReply,
            CallError::WrongSubmission { .. } | CallError::Partial { .. } => {
                SeenOutcome::WrongAnswer
            }
        };
        seen.into()
    }
}
