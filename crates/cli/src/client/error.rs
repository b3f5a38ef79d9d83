//! Why a call has no usable reply.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::api::Failure;
use snafu::Snafu;

use crate::exit::Exit;

/// Cause of a broken exchange.
pub type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Failure of a call, by what it says about the fate of the request.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// The connection was not made, so nothing was sent.
    #[snafu(display("cannot connect to entry {entry}; nothing was sent"))]
    Unreachable {
        /// The entry.
        entry: SocketAddr,
        /// The cause.
        source: Cause,
    },
    /// The connection broke before the whole reply was there.
    #[snafu(display("the reply of entry {entry} was lost; the request may have taken effect"))]
    ReplyLost {
        /// The entry.
        entry: SocketAddr,
        /// The cause.
        source: Cause,
    },
    /// No whole reply came in time.
    #[snafu(display(
        "entry {entry} did not reply within {timeout}; the request may have taken effect"
    ))]
    Timeout {
        /// The entry.
        entry: SocketAddr,
        /// The longest wait.
        timeout: Millis,
    },
    /// The user gave up before the reply came.
    #[snafu(display("interrupted before submission {submission} was answered; it may run"))]
    Interrupted {
        /// The submission.
        submission: dfs_ids::SubmissionId,
    },
    /// The request has no valid form.
    #[snafu(display("cannot form a request to entry {entry}"))]
    Malformed {
        /// The entry.
        entry: SocketAddr,
        /// The cause.
        source: hyper::http::Error,
    },
    /// The entry refused with a typed failure.
    #[snafu(display("entry {entry} refused: {}: {}", failure.reason, failure.message))]
    Refused {
        /// The entry.
        entry: SocketAddr,
        /// Its failure.
        failure: Box<Failure>,
    },
    /// The reply is not of the kind that the interface promises.
    #[snafu(display("unexpected reply of entry {entry} with status {status}: {excerpt:?}"))]
    Unexpected {
        /// The entry.
        entry: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// Start of the body.
        excerpt: String,
    },
    /// The answer belongs to another submission.
    #[snafu(display("entry {entry} answered submission {found} in place of {expected}"))]
    WrongSubmission {
        /// The entry.
        entry: SocketAddr,
        /// Submission that was sent.
        expected: dfs_ids::SubmissionId,
        /// Submission that was answered.
        found: dfs_ids::SubmissionId,
    },
    /// The answer is neither whole nor failed.
    #[snafu(display("entry {entry} answered {results} of {tasks} tasks; the job may have run"))]
    Partial {
        /// The entry.
        entry: SocketAddr,
        /// Tasks that were sent.
        tasks: usize,
        /// Results that came back.
        results: usize,
    },
}

impl CallError {
    /// Whether it is certain that the entry received nothing.
    #[must_use]
    pub const fn nothing_sent(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Malformed { .. })
    }

    /// The exit code that goes with the failure.
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
                Exit::BrokenAnswer
            }
        }
    }
}
