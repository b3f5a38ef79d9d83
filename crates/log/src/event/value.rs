//! Values of event fields as they are written in a line.

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

/// Longest error text in an event, in bytes.
const MAX_ERROR_BYTES: usize = 1_024;

/// What went wrong, cut to a bounded length.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ErrorText(String);

impl ErrorText {
    /// Renders an error with its sources, leaving out a source that the text has already.
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
        let names = tasks
            .into_iter()
            .map(|(task, attempt)| format!("{task}.{attempt}"));
        Self(names.collect::<Vec<_>>().join(","))
    }
}

/// A type that an event field may have.
pub(crate) trait FieldValue {
    /// The value as text, or nothing if the field is left out.
    fn text(&self) -> Option<String>;
}

impl<T: FieldValue> FieldValue for Option<T> {
    fn text(&self) -> Option<String> {
        self.as_ref().and_then(T::text)
    }
}

// The key of a span names its unit.
impl FieldValue for Millis {
    fn text(&self) -> Option<String> {
        Some(self.get().to_string())
    }
}

macro_rules! displayed {
    ($($type:ty),* $(,)?) => {
        $(impl FieldValue for $type {
            fn text(&self) -> Option<String> {
                Some(self.to_string())
            }
        })*
    };
}

displayed!(
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
    super::ConfigSource,
    super::Listener,
    super::NotReadyCause,
    super::ProcessName,
);

/// Writes ` key=value`, quoted and escaped where the value would not read back as one word.
pub(crate) fn write_field(
    f: &mut fmt::Formatter<'_>,
    key: &str,
    value: &impl FieldValue,
) -> fmt::Result {
    match value.text() {
        None => Ok(()),
        Some(text) if is_word(&text) => write!(f, " {key}={text}"),
        Some(text) => write!(f, " {key}={text:?}"),
    }
}

fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'))
}
