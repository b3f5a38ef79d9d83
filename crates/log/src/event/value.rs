//! Formatting of event fields.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

use derive_more::Display;
use dfs_ids::AgentId;
use dfs_ids::Attempt;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::SessionNumber;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_ids::TargetId;
use dfs_ids::TaskIndex;
use dfs_wire::api::FailureReason;
use dfs_wire::session::CrashedRun;

/// Length in bytes at which an error text is truncated.
const MAX_ERROR_BYTES: usize = 1_024;

/// An error or a cause as text, truncated to 1 KiB.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ErrorText(String);

impl ErrorText {
    /// Renders an error with its chain of sources, skipping a source whose text is already included.
    #[must_use]
    pub fn new(error: &dyn Error) -> Self {
        let mut text = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            let cause_text = cause.to_string();
            if !text.contains(&cause_text) {
                text.push_str(": ");
                text.push_str(&cause_text);
            }
            source = cause.source();
        }
        Self::from(text.as_str())
    }
}

impl From<&str> for ErrorText {
    fn from(text: &str) -> Self {
        let end = text.floor_char_boundary(MAX_ERROR_BYTES);
        Self(text[..end].to_owned())
    }
}

/// Tasks with their attempts, as `index.attempt` joined by commas.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TaskList(String);

impl FromIterator<(TaskIndex, Attempt)> for TaskList {
    fn from_iter<I: IntoIterator<Item = (TaskIndex, Attempt)>>(tasks: I) -> Self {
        let attempts = tasks
            .into_iter()
            .map(|(task, attempt)| format!("{task}.{attempt}"));
        Self(attempts.collect::<Vec<_>>().join(","))
    }
}

/// Failure domains, joined by commas.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct DomainList(String);

impl<'a> FromIterator<&'a FailureDomain> for DomainList {
    fn from_iter<I: IntoIterator<Item = &'a FailureDomain>>(domains: I) -> Self {
        let names = domains.into_iter().map(FailureDomain::as_str);
        Self(names.collect::<Vec<_>>().join(","))
    }
}

/// Tasks that ran on a crashed target, as `job/index:crashes` joined by commas; at most 16 of them.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct AccusedTasks(String);

/// Limit on the tasks in one line.
const MAX_ACCUSED_TASKS: usize = 16;

impl<'a> FromIterator<&'a CrashedRun> for AccusedTasks {
    fn from_iter<I: IntoIterator<Item = &'a CrashedRun>>(runs: I) -> Self {
        let tasks = runs
            .into_iter()
            .take(MAX_ACCUSED_TASKS)
            .map(|run| format!("{}/{}:{}", run.job, run.task, run.earlier_crashes));
        Self(tasks.collect::<Vec<_>>().join(","))
    }
}

/// A type that can be a field of an event.
pub(crate) trait FieldValue {
    /// Returns the unquoted text of the value, or `None` if the field is omitted from the line.
    fn render(&self) -> Option<String>;
}

impl<T: FieldValue> FieldValue for Option<T> {
    fn render(&self) -> Option<String> {
        self.as_ref().and_then(T::render)
    }
}

// The number alone: field names end in the unit, `_ms`.
impl FieldValue for Millis {
    fn render(&self) -> Option<String> {
        Some(self.get().to_string())
    }
}

macro_rules! impl_field_value_from_display {
    ($($type:ty),* $(,)?) => {
        $(impl FieldValue for $type {
            fn render(&self) -> Option<String> {
                Some(self.to_string())
            }
        })*
    };
}

impl_field_value_from_display!(
    bool,
    String,
    u16,
    u32,
    u64,
    usize,
    SocketAddr,
    AgentId,
    Attempt,
    ChangeId,
    ConfigVersion,
    FailureDomain,
    FailureReason,
    GroupId,
    Incarnation,
    ServiceName,
    SessionNumber,
    dfs_conf::LogLevel,
    Slots,
    SubmissionId,
    TargetId,
    TaskIndex,
    dfs_ids::Priority,
    dfs_ids::QueueName,
    ErrorText,
    dfs_wire::session::NotRunReason,
    TaskList,
    DomainList,
    dfs_ids::Revision,
    AccusedTasks,
    dfs_ids::JobName,
    dfs_ids::Label,
    super::ConfigSource,
    super::ClientLimit,
    super::Listener,
    super::NotReadyCause,
    super::ProcessName,
);

/// Writes ` key=value`, with the value quoted and escaped unless it is a single plain word.
///
/// Quoting keeps a value from ending its line or adding another field.
pub(crate) fn write_field(
    f: &mut fmt::Formatter<'_>,
    key: &str,
    value: &impl FieldValue,
) -> fmt::Result {
    match value.render() {
        None => Ok(()),
        Some(text) if is_plain_word(&text) => write!(f, " {key}={text}"),
        Some(text) => write!(f, " {key}={text:?}"),
    }
}

fn is_plain_word(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'))
}
