//! Names that are compared and printed, never interpreted.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Longest accepted identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Why a string is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The string is empty.
    #[snafu(display("an identifier must not be empty"))]
    Empty,
    /// The string is longer than [`MAX_ID_BYTES`].
    #[snafu(display("an identifier may have {MAX_ID_BYTES} bytes, this one has {bytes}"))]
    TooLong {
        /// Length that was given, in bytes.
        bytes: usize,
    },
    /// A character outside `A-Z a-z 0-9 . _ : -`.
    #[snafu(display("character {found:?} in identifier {id:?}: use A-Z a-z 0-9 . _ : -"))]
    BadCharacter {
        /// The identifier that was given.
        id: String,
        /// Its first character that is not allowed.
        found: char,
    },
}

fn check(id: &str) -> Result<(), IdError> {
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

macro_rules! name {
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
                check(id)?;
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

name!(
    /// A group: one of the organisations that share the pool.
    GroupId
);
name!(
    /// A service that targets offer and tasks name.
    ServiceName
);
name!(
    /// A target: the back end that runs tasks.
    TargetId
);
name!(
    /// A failure domain of the inventory.
    FailureDomain
);
name!(
    /// An entry process, as named in its settings.
    EntryId
);
name!(
    /// An agent process, as named in its settings.
    AgentId
);
name!(
    /// A property of a target that a submission may ask for.
    Label
);
name!(
    /// A queue: where callers hand in jobs of one kind.
    QueueName
);
name!(
    /// One submission of a job or request.
    SubmissionId
);
name!(
    /// A caller's idempotency key for resubmission.
    RequestKey
);
name!(
    /// One attempt of an operator to change the configuration.
    ChangeId
);

impl SubmissionId {
    /// Numbers a submission within one entry incarnation.
    ///
    /// The pair is unique because an incarnation is drawn at random at every start.
    #[must_use]
    pub fn numbered(incarnation: crate::Incarnation, serial: u64) -> Self {
        Self(Arc::from(format!("{incarnation}-{serial:x}")))
    }
}
