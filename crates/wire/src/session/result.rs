//! Results that an agent reports to an entry.
//!
//! Serialized by hand as flat arrays without field names, because these messages make up most of the
//! traffic.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Unexpected;
use serde::de::Visitor;
use serde::ser::SerializeTuple;
use serde_json::value::RawValue;

use super::TaskRef;
use super::placement::required;

/// How a task that had started ended.
#[derive(Debug, Clone, Display)]
pub enum TaskOutcome {
    /// The target responded with this result.
    #[display("done")]
    Done(Arc<RawValue>),
    /// The target responded with an error, or its response was truncated or malformed; carries the error.
    #[display("failed: {_0}")]
    Failed(String),
    /// The task may have done all or part of its work; carries the cause. If the target supports stopping
    /// runs, it is certain that the run has ended.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// Result of a task that started and has ended.
///
/// On the wire: `[submission, task, attempt, wait_us, run_us, kind, body]`, where kind is 0 for
/// done, 1 for failed and 2 for unknown.
#[derive(Debug, Clone)]
pub struct TaskResult {
    /// Task and attempt that ran.
    pub task: TaskRef,
    /// Time in the agent's queue, in microseconds.
    pub wait_us: u64,
    /// Time from start to end on the target, in microseconds.
    pub run_us: u64,
    /// How the task ended.
    pub outcome: TaskOutcome,
}

const RESULT_FIELDS: usize = 7;
const KIND_DONE: u8 = 0;
const KIND_FAILED: u8 = 1;
const KIND_UNKNOWN: u8 = 2;

impl Serialize for TaskResult {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(RESULT_FIELDS)?;
        tuple.serialize_element(self.task.submission.as_str())?;
        tuple.serialize_element(&self.task.task)?;
        tuple.serialize_element(&self.task.attempt)?;
        tuple.serialize_element(&self.wait_us)?;
        tuple.serialize_element(&self.run_us)?;
        match &self.outcome {
            TaskOutcome::Done(body) => {
                tuple.serialize_element(&KIND_DONE)?;
                tuple.serialize_element(body)?;
            }
            TaskOutcome::Failed(message) => {
                tuple.serialize_element(&KIND_FAILED)?;
                tuple.serialize_element(message)?;
            }
            TaskOutcome::Unknown(message) => {
                tuple.serialize_element(&KIND_UNKNOWN)?;
                tuple.serialize_element(message)?;
            }
        }
        tuple.end()
    }
}

struct ResultVisitor;

impl<'de> Visitor<'de> for ResultVisitor {
    type Value = TaskResult;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("[submission, task, attempt, wait_us, run_us, kind, body]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TaskResult, A::Error> {
        let task = TaskRef {
            submission: required(&mut seq, "submission")?,
            task: required(&mut seq, "task")?,
            attempt: required(&mut seq, "attempt")?,
        };
        let wait_us = required(&mut seq, "wait_us")?;
        let run_us = required(&mut seq, "run_us")?;
        let outcome = match required::<A, u8>(&mut seq, "kind")? {
            KIND_DONE => {
                let body: Box<RawValue> = required(&mut seq, "body")?;
                TaskOutcome::Done(Arc::from(body))
            }
            KIND_FAILED => TaskOutcome::Failed(required(&mut seq, "message")?),
            KIND_UNKNOWN => TaskOutcome::Unknown(required(&mut seq, "message")?),
            other => {
                let found = Unexpected::Unsigned(other.into());
                return Err(A::Error::invalid_value(found, &"kind 0, 1 or 2"));
            }
        };
        Ok(TaskResult {
            task,
            wait_us,
            run_us,
            outcome,
        })
    }
}

impl<'de> Deserialize<'de> for TaskResult {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(RESULT_FIELDS, ResultVisitor)
    }
}
