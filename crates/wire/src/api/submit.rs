//! Request bodies of submissions.

use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Body of `POST /v1/jobs`: tasks of one service that complete or fail as a whole.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The service that every task calls.
    pub service: ServiceName,
    /// JSON body of each task; must not be empty.
    pub tasks: Vec<Box<RawValue>>,
    /// Time within which the caller needs the response; absent for the default in the rules.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// Expected run time of one task; absent if the caller does not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<Millis>,
    /// Idempotency key: at most one submission of the group with this key runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_key: Option<RequestKey>,
}

/// Body of `POST /v1/requests`: a single task.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SingleRequest {
    /// The service that the task calls.
    pub service: ServiceName,
    /// JSON body that is passed to the target.
    pub body: Box<RawValue>,
    /// Whether the request may run more than once, for example if it is idempotent.
    #[serde(default)]
    pub repeatable: bool,
    /// Time within which the caller needs the response; absent for the default in the rules.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// Expected run time; absent if the caller does not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<Millis>,
    /// Idempotency key: at most one submission of the group with this key runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_key: Option<RequestKey>,
}
