//! Logs and metrics.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Where logs and metrics go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe events that are written to standard output.
    pub level: LogLevel,
    /// Address on which metrics are served as text at `/metrics`; absent: nowhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the statsd server; absent: no metrics are sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub statsd_address: Option<SocketAddr>,
}

/// Severity of an event.
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
    /// Needs an operator.
    #[display("error")]
    Error,
    /// Something failed and was dealt with.
    #[display("warn")]
    Warn,
    /// A change of state.
    #[default]
    #[display("info")]
    Info,
    /// Single requests and messages.
    #[display("debug")]
    Debug,
}
