//! Opaque string identifiers: compared and printed, never parsed for content.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Longest accepted identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Why a string was rejected as an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The string is empty.
    #[snafu(display("an identifier must not be empty"))]
    Empty,
    /// The string is longer than `MAX_ID_BYTES`.
    #[snafu(display("an identifier may have {MAX_ID_BYTES} bytes, this one has {bytes}"))]
    TooLong {
        /// Length of the rejected string, in bytes.
        bytes: usize,
    },
    /// A character outside `A-Z a-z 0-9 . _ : -`.
    #[snafu(display("character {found:?} in identifier {id:?}: use A-Z a-z 0-9 . _ : -"))]
    BadCharacter {
        /// The rejected string.
        id: String,
        /// The first character that is not allowed.
        found: char,
    },
}

fn validate(id: &str) -> Result<(), IdError> {
    if id.is_empty() {
        return Err(IdError::Empty);
    }
    if id.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { bytes: id.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match id.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::BadCharacter {
            id: id.to_owned(),
            found,
        }),
        None => Ok(()),
    }
}

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(id: &str) -> Result<Self, IdError> {
                validate(id)?;
                Ok(Self(Arc::from(id)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(id: String) -> Result<Self, IdError> {
                id.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

id_type!(
    /// A group (team): one of the organisations that share the targets.
    GroupId
);
id_type!(
    /// Name of a service: targets offer services, and each task calls one.
    ServiceName
);
id_type!(
    /// A target: a back end that runs tasks.
    TargetId
);
id_type!(
    /// A failure domain, as named in the inventory.
    FailureDomain
);
id_type!(
    /// An entry process, as named in its settings.
    EntryId
);
id_type!(
    /// An agent process, as named in its settings.
    AgentId
);
id_type!(
    /// A property of a target that a submission may require.
    Label
);
id_type!(
    /// Name of a queue to which callers submit jobs of one kind.
    QueueName
);
id_type!(
    /// One submission: a job or a single request.
    SubmissionId
);
id_type!(
    /// Name of a job, the same when its caller submits it again, at whichever entry.
    JobName
);
id_type!(
    /// Idempotency key with which a caller may resubmit safely.
    RequestKey
);
id_type!(
    /// Idempotency key of one configuration change by an operator.
    ChangeId
);

impl From<&SubmissionId> for JobName {
    /// The name of a job to which its caller gave none.
    fn from(submission: &SubmissionId) -> Self {
        Self(Arc::clone(&submission.0))
    }
}

impl SubmissionId {
    /// Identifier of the submission with number `serial` of one entry incarnation.
    ///
    /// It is unique across entries and restarts, because an incarnation is drawn at random whenever the
    /// process starts.
    #[must_use]
    pub fn numbered(incarnation: crate::Incarnation, serial: u64) -> Self {
        Self(Arc::from(format!("{incarnation}-{serial:x}")))
    }
}
