//! Why a measurement or a page failed.

use std::path::PathBuf;

use snafu::Snafu;

use crate::SlopeName;

/// Why a measurement or a page failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SlopesError {
    /// A file could not be read or written.
    #[snafu(display("file {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A process or socket could not be started.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Why.
        source: std::io::Error,
    },
    /// An embedded entry did not start.
    #[snafu(display("entry: {source}"))]
    Entry {
        /// Why.
        source: dfs_entry::StartError,
    },
    /// An embedded agent did not start.
    #[snafu(display("agent: {source}"))]
    Agent {
        /// Why.
        source: dfs_agent::StartError,
    },
    /// Metrics could not be set up.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Why.
        source: dfs_log::LogError,
    },
    /// A text is not the expected JSON.
    #[snafu(display("JSON: {source}"))]
    Json {
        /// Why.
        source: serde_json::Error,
    },
    /// A request has no answer.
    #[snafu(display("request: {source}"))]
    Request {
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The body of an answer broke off.
    #[snafu(display("answer: {source}"))]
    Answer {
        /// Why.
        source: hyper::Error,
    },
    /// A version could not be read.
    #[snafu(display("version: {source}"))]
    Read {
        /// Why.
        source: dfs_store::ConfigReadError,
    },
    /// A change was not accepted.
    #[snafu(display("change: {source}"))]
    Apply {
        /// Why.
        source: dfs_store::ApplyError,
    },
    /// An entry refused a request.
    #[snafu(display("status {status}: {body}"))]
    Refused {
        /// Status code.
        status: u16,
        /// The answer.
        body: String,
    },
    /// The cluster was not ready in time.
    #[snafu(display("{expected} sessions were not open in time"))]
    NotReady {
        /// Sessions waited for.
        expected: usize,
    },
    /// The file of slopes lacks one that the page needs.
    #[snafu(display("slope {name:?} is missing"))]
    MissingSlope {
        /// The slope.
        name: SlopeName,
    },
    /// The page has no place for the tables.
    #[snafu(display("the page lacks the marker {marker:?}"))]
    MissingMarker {
        /// The marker.
        marker: &'static str,
    },
}
