//! Exit codes of the tool.

use std::process::ExitCode;

use dfs_wire::api::FailureReason;

/// Outcome of a command, by which scripts decide what to do; docs/API.md lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// An error on this machine: reading a file, writing standard output, starting the runtime or
    /// the demo.
    LocalFailure,
    /// An option or an input document is invalid; nothing was sent.
    Usage,
    /// No entry accepted a connection; nothing was sent.
    Unreachable,
    /// The request was sent and no complete reply was read; it may have taken effect.
    ReplyLost,
    /// An entry sent a reply that does not fit the API.
    InvalidReply,
    /// Refused; the same submission would be refused again.
    Refused,
    /// The token is unknown or does not permit the call.
    Denied,
    /// No open submission has this name, or no log line names the request.
    UnknownSubmission,
    /// Refused for a condition that may pass; a later retry can succeed.
    TryLater,
    /// Another submission uses the request key.
    KeyConflict,
    /// The caller cancelled the submission.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
    /// A target answered a task with an error.
    TaskFailed,
    /// A task may have run, and its result was lost.
    OutcomeUnknown,
    /// Another change of the configuration was accepted first.
    ConfigConflict,
    /// The inventory, the rules or the mix of a load is invalid.
    ConfigInvalid,
    /// The change may have been accepted; applying it again with the same change id finds out.
    ConfigOutcomeUnknown,
    /// `config wait` timed out.
    WaitTimeout,
    /// `inventory diff` found differences.
    DocumentsDiffer,
    /// `load` received answers that were incomplete or not for its submissions.
    WrongAnswers,
}

impl Exit {
    /// Exit status of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::LocalFailure => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::ReplyLost => 4,
            Self::InvalidReply => 5,
            Self::Refused => 10,
            Self::Denied => 11,
            Self::UnknownSubmission => 12,
            Self::TryLater => 13,
            Self::KeyConflict => 14,
            Self::Cancelled => 15,
            Self::DeadlineExceeded => 16,
            Self::TaskFailed => 17,
            Self::OutcomeUnknown => 18,
            Self::ConfigConflict => 20,
            Self::ConfigInvalid => 21,
            Self::ConfigOutcomeUnknown => 22,
            Self::WaitTimeout => 23,
            Self::DocumentsDiffer => 24,
            Self::WrongAnswers => 30,
        }
    }
}

impl From<FailureReason> for Exit {
    fn from(reason: FailureReason) -> Self {
        match reason {
            FailureReason::BadRequest
            | FailureReason::TooLarge
            | FailureReason::BodyTimeout
            | FailureReason::Impossible => Self::Refused,
            FailureReason::UnknownToken | FailureReason::Forbidden => Self::Denied,
            FailureReason::UnknownSubmission => Self::UnknownSubmission,
            FailureReason::KeyConflict => Self::KeyConflict,
            FailureReason::KeyUnavailable
            | FailureReason::Overloaded
            | FailureReason::DeadlineUnreachable
            | FailureReason::NoTarget
            | FailureReason::NotReady
            | FailureReason::RetriesExhausted => Self::TryLater,
            FailureReason::Cancelled => Self::Cancelled,
            FailureReason::DeadlineExceeded => Self::DeadlineExceeded,
            FailureReason::TaskFailed => Self::TaskFailed,
            FailureReason::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
