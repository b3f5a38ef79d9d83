//! Tasks on their way to an agent; serialised by hand because they make up most of the traffic.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;
use dfs_ids::TaskIndex;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Unexpected;
use serde::de::Visitor;
use serde::ser::SerializeSeq;
use serde::ser::SerializeTuple;
use serde_json::value::RawValue;

use super::Terms;

/// One attempt to run one task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{submission}/{task}#{attempt}")]
pub struct TaskRef {
    /// The submission.
    pub submission: SubmissionId,
    /// The task in it.
    pub task: TaskIndex,
    /// The attempt.
    pub attempt: Attempt,
}

/// Tasks of one submission for one agent.
///
/// On the wire:
/// `[submission, group, service, time_left_ms, age_ms, left, if_full, terms, index, attempt, body, …]`.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The submission.
    pub submission: SubmissionId,
    /// The group that pays for the tasks.
    pub group: GroupId,
    /// The service to call.
    pub service: ServiceName,
    /// Time until the tasks must have started; each hop subtracts what it used.
    pub time_left_ms: Millis,
    /// Time since the submission arrived, for the order of the queue.
    pub age_ms: Millis,
    /// Tasks of the submission that are not settled yet.
    pub unfinished_tasks: u32,
    /// What becomes of tasks that find no free slot.
    pub if_full: IfFull,
    /// What each task needs.
    pub terms: Terms,
    /// The tasks; never empty.
    pub tasks: Vec<PlacedTask>,
}

/// What an agent does with a task that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IfFull {
    /// Queues it.
    Queue,
    /// Hands it back at once, so that the entry can place it elsewhere.
    HandBack,
}

/// One task of a placement.
#[derive(Debug, Clone)]
pub struct PlacedTask {
    /// Position in the submission.
    pub task: TaskIndex,
    /// The attempt.
    pub attempt: Attempt,
    /// Body for the target.
    pub body: Arc<RawValue>,
}

const TASK_REF_FIELDS: usize = 3;
const PLACEMENT_HEAD_FIELDS: usize = 8;
const PLACED_TASK_FIELDS: usize = 3;
const IF_FULL_QUEUE: u8 = 0;
const IF_FULL_HAND_BACK: u8 = 1;

impl Serialize for IfFull {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(match self {
            Self::Queue => IF_FULL_QUEUE,
            Self::HandBack => IF_FULL_HAND_BACK,
        })
    }
}

impl<'de> Deserialize<'de> for IfFull {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match u8::deserialize(deserializer)? {
            IF_FULL_QUEUE => Ok(Self::Queue),
            IF_FULL_HAND_BACK => Ok(Self::HandBack),
            other => {
                let found = Unexpected::Unsigned(other.into());
                Err(D::Error::invalid_value(found, &"0 or 1"))
            }
        }
    }
}

impl Serialize for TaskRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(TASK_REF_FIELDS)?;
        tuple.serialize_element(self.submission.as_str())?;
        tuple.serialize_element(&self.task)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.end()
    }
}

struct TaskRefVisitor;

impl<'de> Visitor<'de> for TaskRefVisitor {
    type Value = TaskRef;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("[submission, task, attempt]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TaskRef, A::Error> {
        Ok(TaskRef {
            submission: required(&mut seq, "submission")?,
            task: required(&mut seq, "task")?,
            attempt: required(&mut seq, "attempt")?,
        })
    }
}

impl<'de> Deserialize<'de> for TaskRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(TASK_REF_FIELDS, TaskRefVisitor)
    }
}

impl Serialize for Placement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = PLACEMENT_HEAD_FIELDS + PLACED_TASK_FIELDS * self.tasks.len();
        let mut seq = serializer.serialize_seq(Some(fields))?;
        seq.serialize_element(self.submission.as_str())?;
        seq.serialize_element(self.group.as_str())?;
        seq.serialize_element(self.service.as_str())?;
        seq.serialize_element(&self.time_left_ms)?;
        seq.serialize_element(&self.age_ms)?;
        seq.serialize_element(&self.unfinished_tasks)?;
        seq.serialize_element(&self.if_full)?;
        seq.serialize_element(&self.terms)?;
        for task in &self.tasks {
            seq.serialize_element(&task.task)?;
            seq.serialize_element(&task.attempt)?;
            seq.serialize_element(&task.body)?;
        }
        seq.end()
    }
}

struct PlacementVisitor;

impl<'de> Visitor<'de> for PlacementVisitor {
    type Value = Placement;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(
            "[submission, group, service, time_left_ms, age_ms, left, if_full, terms, index, attempt, body, …]",
        )
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Placement, A::Error> {
        let mut placement = Placement {
            submission: required(&mut seq, "submission")?,
            group: required(&mut seq, "group")?,
            service: required(&mut seq, "service")?,
            time_left_ms: required(&mut seq, "time_left_ms")?,
            age_ms: required(&mut seq, "age_ms")?,
            unfinished_tasks: required(&mut seq, "left")?,
            if_full: required(&mut seq, "if_full")?,
            terms: required(&mut seq, "terms")?,
            tasks: Vec::new(),
        };
        while let Some(task) = seq.next_element()? {
            let attempt = required(&mut seq, "attempt")?;
            let body: Box<RawValue> = required(&mut seq, "body")?;
            placement.tasks.push(PlacedTask {
                task,
                attempt,
                body: Arc::from(body),
            });
        }
        if placement.tasks.is_empty() {
            return Err(A::Error::missing_field("index"));
        }
        Ok(placement)
    }
}

impl<'de> Deserialize<'de> for Placement {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(PlacementVisitor)
    }
}

/// Reads one element that must be there.
pub(super) fn required<'de, A, T>(seq: &mut A, field: &'static str) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    seq.next_element()?
        .ok_or_else(|| A::Error::missing_field(field))
}
