//! Tasks that an entry places at an agent.
//!
//! Serialized by hand as flat arrays without field names, because these messages make up most of the
//! traffic.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use dfs_ids::Attempt;
use dfs_ids::GroupId;
use dfs_ids::JobName;
use dfs_ids::Millis;
use dfs_ids::QueueName;
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
use super::terms::is_default;

/// Identifies one attempt to run one task.
///
/// On the wire: `[submission, task, attempt]`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{submission}/{task}#{attempt}")]
pub struct TaskRef {
    /// Submission to which the task belongs.
    pub submission: SubmissionId,
    /// Position of the task in the submission.
    pub task: TaskIndex,
    /// Number of earlier placements of the task.
    pub attempt: Attempt,
}

/// Tasks of one submission for one agent.
///
/// On the wire:
/// `[submission, group, service, time_left_ms, age_ms, left, if_full, terms, origin, index, attempt, body, …]`.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Submission to which the tasks belong.
    pub submission: SubmissionId,
    /// Group to which the run time of the tasks is charged.
    pub group: GroupId,
    /// Service that the tasks call.
    pub service: ServiceName,
    /// Time within which the tasks must start. It is relative because clocks are not shared; each hop
    /// subtracts the time that it has used.
    pub time_left_ms: Millis,
    /// Time since the submission arrived. Together with `unfinished_tasks` it determines the order of the
    /// agent's queue.
    pub age_ms: Millis,
    /// Number of tasks of the submission that have not finished yet.
    pub unfinished_tasks: u32,
    /// What the agent does with tasks for which the target has no free slot.
    pub if_full: IfFull,
    /// Requirements and priority of each task.
    pub terms: Terms,
    /// Where the tasks come from.
    pub origin: Origin,
    /// Tasks to run; never empty.
    pub tasks: Vec<PlacedTask>,
}

/// Where the tasks of a [`Placement`] come from, and what is known of them.
///
/// Fields with their default value are omitted on the wire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Name of the job; the identifier of the submission if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<JobName>,
    /// Queue to which the job was submitted, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
    /// Number of targets that have crashed under each of the tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub crashes: u32,
}

impl Origin {
    /// Name of the job of a submission.
    #[must_use]
    pub fn job_name(&self, submission: &SubmissionId) -> JobName {
        let job = self.job.clone();
        job.unwrap_or_else(|| JobName::from(submission))
    }
}

/// What an agent does with a task for which the target has no free slot or too few resources.
///
/// On the wire: 0 for `Queue`, 1 for `HandBack`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IfFull {
    /// Queues the task.
    Queue,
    /// Returns the task at once, so that the entry can place it elsewhere.
    HandBack,
}

/// One task of a [`Placement`].
#[derive(Debug, Clone)]
pub struct PlacedTask {
    /// Position of the task in the submission.
    pub task: TaskIndex,
    /// Number of earlier placements of the task.
    pub attempt: Attempt,
    /// JSON body that is passed to the target.
    pub body: Arc<RawValue>,
}

const TASK_REF_FIELDS: usize = 3;
const PLACEMENT_HEADER_FIELDS: usize = 9;
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
        let element_count = PLACEMENT_HEADER_FIELDS + PLACED_TASK_FIELDS * self.tasks.len();
        let mut seq = serializer.serialize_seq(Some(element_count))?;
        seq.serialize_element(self.submission.as_str())?;
        seq.serialize_element(self.group.as_str())?;
        seq.serialize_element(self.service.as_str())?;
        seq.serialize_element(&self.time_left_ms)?;
        seq.serialize_element(&self.age_ms)?;
        seq.serialize_element(&self.unfinished_tasks)?;
        seq.serialize_element(&self.if_full)?;
        seq.serialize_element(&self.terms)?;
        seq.serialize_element(&self.origin)?;
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
            "[submission, group, service, time_left_ms, age_ms, left, if_full, terms, origin, index, attempt, body, …]",
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
            origin: required(&mut seq, "origin")?,
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

/// Reads the next element of a sequence; the error for a missing one names `field`.
pub(super) fn required<'de, A, T>(seq: &mut A, field: &'static str) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    seq.next_element()?
        .ok_or_else(|| A::Error::missing_field(field))
}
