//! What a caller submits.

use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Body of `POST /v1/jobs`: tasks of one service that are answered together.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The service that every task calls.
    pub service: ServiceName,
    /// One JSON body for each task; never empty.
    pub tasks: Vec<Box<RawValue>>,
    /// Time in which the caller wants the answer; the rules' default if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// Run time that the caller expects of one task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<Millis>,
    /// Idempotency key: at most one submission with this key runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_key: Option<RequestKey>,
}

/// Body of `POST /v1/requests`: one task.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SingleRequest {
    /// The service that the task calls.
    pub service: ServiceName,
    /// The JSON body for the target.
    pub body: Box<RawValue>,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Time in which the caller wants the answer; the rules' default if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// Run time that the caller expects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<Millis>,
    /// Idempotency key: at most one submission with this key runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_key: Option<RequestKey>,
}
