//! Errors of calls to entries.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::api::Failure;
use snafu::Snafu;

use crate::exit::Exit;

/// Error of the HTTP client or of reading the body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Failure of a call; the variants differ in whether the request may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("cannot connect to entry {entry}; nothing was sent"))]
    Unreachable {
        /// Address of the entry.
        entry: SocketAddr,
        /// Error of the HTTP client.
        source: BoxError,
    },
    /// The exchange failed before the complete reply was read: the connection broke, or the reply
    /// was too large.
    #[snafu(display("lost the reply from entry {entry}; the request may have taken effect"))]
    ReplyLost {
        /// Address of the entry.
        entry: SocketAddr,
        /// Error of the HTTP client.
        source: BoxError,
    },
    /// The reply was not complete within the time-out.
    #[snafu(display(
        "entry {entry} did not reply within {timeout}; the request may have taken effect"
    ))]
    Timeout {
        /// Address of the entry.
        entry: SocketAddr,
        /// Time-out for the complete reply.
        timeout: Millis,
    },
    /// The user stopped waiting with a second interrupt.
    #[snafu(display("interrupted before submission {submission} was answered; it may still run"))]
    Interrupted {
        /// Name of the submission.
        submission: dfs_ids::SubmissionId,
    },
    /// The request could not be built, so nothing was sent.
    #[snafu(display("cannot build a request to entry {entry}"))]
    Malformed {
        /// Address of the entry.
        entry: SocketAddr,
        /// Error of the request builder.
        source: hyper::http::Error,
    },
    /// The entry refused the request or failed it, with a reason.
    #[snafu(display("entry {entry} refused: {}: {}", failure.reason, failure.message))]
    Refused {
        /// Address of the entry.
        entry: SocketAddr,
        /// Failure from the body of the reply.
        failure: Box<Failure>,
    },
    /// The status and body of the reply do not fit the API.
    #[snafu(display("unexpected reply from entry {entry} with status {status}: {excerpt:?}"))]
    Unexpected {
        /// Address of the entry.
        entry: SocketAddr,
        /// HTTP status.
        status: u16,
        /// First characters of the body.
        excerpt: String,
    },
    /// The answer is that of another submission.
    #[snafu(display("entry {entry} answered submission {found} instead of {expected}"))]
    WrongSubmission {
        /// Address of the entry.
        entry: SocketAddr,
        /// Name of the submission that was sent.
        expected: dfs_ids::SubmissionId,
        /// Name of the submission in the answer.
        found: dfs_ids::SubmissionId,
    },
    /// The answer has neither a result for each task nor a failure alone.
    #[snafu(display("entry {entry} answered {results} of {tasks} tasks; the job may have run"))]
    Partial {
        /// Address of the entry.
        entry: SocketAddr,
        /// Number of tasks sent.
        tasks: usize,
        /// Number of results in the answer.
        results: usize,
    },
}

impl CallError {
    /// Whether the entry certainly received nothing, so that the call may go to another one.
    #[must_use]
    pub const fn nothing_sent(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Malformed { .. })
    }

    /// Exit code that the command ends with.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::ReplyLost { .. } | Self::Timeout { .. } | Self::Interrupted { .. } => {
                Exit::ReplyLost
            }
            Self::Malformed { .. } => Exit::Usage,
            Self::Refused { failure, .. } => failure.reason.into(),
            Self::Unexpected { .. } | Self::WrongSubmission { .. } | Self::Partial { .. } => {
                Exit::InvalidReply
            }
        }
    }
}
