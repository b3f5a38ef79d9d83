//! Errors of measurements and of page generation.

use std::path::PathBuf;

use snafu::Snafu;

use crate::SlopeName;

/// Error of a measurement or of page generation.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SlopesError {
    /// A file could not be read or written.
    #[snafu(display("file {}: {source}", path.display()))]
    File {
        /// File that was accessed.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A process, socket or temporary directory could not be created.
    #[snafu(display("cannot set up the measurement: {source}"))]
    Setup {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An embedded entry did not start.
    #[snafu(display("cannot start the embedded entry: {source}"))]
    EntryStart {
        /// Error of the entry.
        source: dfs_entry::StartError,
    },
    /// An embedded agent did not start.
    #[snafu(display("cannot start the embedded agent: {source}"))]
    AgentStart {
        /// Error of the agent.
        source: dfs_agent::StartError,
    },
    /// Metrics of an embedded process could not be set up.
    #[snafu(display("cannot set up metrics: {source}"))]
    Metrics {
        /// Error of the metrics exporter.
        source: dfs_log::LogError,
    },
    /// Settings, the slopes file or a response could not be encoded or decoded as JSON.
    #[snafu(display("invalid JSON: {source}"))]
    Json {
        /// Error of the encoder or decoder.
        source: serde_json::Error,
    },
    /// A request to the entry failed before its response headers arrived.
    #[snafu(display("request failed: {source}"))]
    Request {
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed while the response body was read.
    #[snafu(display("cannot read the response body: {source}"))]
    ResponseBody {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The base version of a configuration change could not be read from the store.
    #[snafu(display("cannot read the configuration: {source}"))]
    ReadConfig {
        /// Error of the store.
        source: dfs_store::ConfigReadError,
    },
    /// A configuration change could not be committed.
    #[snafu(display("cannot apply the configuration change: {source}"))]
    ApplyChange {
        /// Error of the store.
        source: dfs_store::ApplyError,
    },
    /// The entry responded with a status other than 2xx.
    #[snafu(display("entry responded with status {status}: {body}"))]
    ErrorStatus {
        /// HTTP status code.
        status: u16,
        /// Response body, lossily decoded as UTF-8.
        body: String,
    },
    /// The cluster or one of its listeners was not ready within the polling period.
    #[snafu(display("timed out waiting for {expected} sessions"))]
    NotReady {
        /// Number of sessions waited for.
        expected: usize,
    },
    /// The slopes file lacks a slope that the page needs.
    #[snafu(display("slope {name:?} is missing"))]
    MissingSlope {
        /// Slope that was not measured.
        name: SlopeName,
    },
    /// The page lacks a marker that delimits the generated tables.
    #[snafu(display("the page lacks the marker {marker:?}"))]
    MissingMarker {
        /// Expected marker, a whole line.
        marker: &'static str,
    },
}
