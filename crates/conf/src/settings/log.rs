//! Settings for logs and metrics.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Log level and destinations of metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum severity of the events that are written to standard output. The only setting that a
    /// running process takes over when its settings file changes.
    pub level: LogLevel,
    /// Address on which metrics are served as text at `/metrics`; if absent, they are not served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the statsd server; if absent, no metrics are sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub statsd_address: Option<SocketAddr>,
}

/// Severity of a log event; the most severe one sorts first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Requires action by an operator.
    #[display("error")]
    Error,
    /// A failure that was handled.
    #[display("warn")]
    Warn,
    /// A change of state.
    #[default]
    #[display("info")]
    Info,
    /// Individual requests and messages.
    #[display("debug")]
    Debug,
}
