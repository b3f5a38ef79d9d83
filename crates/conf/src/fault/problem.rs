//! Ways in which a value can be invalid, and their texts.

use derive_more::Display;
use dfs_ids::Millis;

use super::FieldPath;

/// Why a value is invalid.
///
/// The texts are shown to operators and returned by the API for configuration changes.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// The object has no field of this name.
    #[display("unknown field; allowed: {}", allowed.join(", "))]
    UnknownField {
        /// All fields that the object may have.
        allowed: Vec<String>,
    },
    /// The name differs from that of an existing field only in its unit suffix.
    #[display("unknown unit; write it as {expected}")]
    WrongUnit {
        /// Name of the existing field.
        expected: String,
    },
    /// A required field is absent.
    #[display("missing; it has no default")]
    Missing,
    /// The value cannot be deserialized into its type.
    #[display("{value} is not valid: {message}")]
    Malformed {
        /// The value as JSON, or a generic description of an object, a list or a secret.
        value: String,
        /// Message of the deserializer.
        message: String,
    },
    /// The value is outside its range, which includes both ends.
    #[display("{value} is out of range; allowed: {min} to {max}")]
    OutOfRange {
        /// The value.
        value: String,
        /// Smallest allowed value.
        min: String,
        /// Largest allowed value.
        max: String,
    },
    /// The value is not allowed together with that of another field.
    #[display("{value} contradicts {other}: {constraint}")]
    Contradiction {
        /// The value.
        value: String,
        /// The other field.
        other: FieldPath,
        /// The constraint that the two fields violate.
        constraint: Constraint,
    },
    /// The value refers to a name that is not defined in the document.
    #[display(
        "{value} is not a known {kind}; known: {}{}",
        known.join(", "),
        omitted_suffix(*omitted)
    )]
    UnknownName {
        /// The value.
        value: String,
        /// What the name refers to.
        kind: ItemKind,
        /// The first of the defined names, in the order of the document.
        known: Vec<String>,
        /// Number of defined names left out of `known`.
        omitted: usize,
    },
    /// The value must be unique but occurs earlier in the document.
    #[display("{value} is already used by {first}")]
    Duplicate {
        /// The value.
        value: String,
        /// Path of its first occurrence.
        first: FieldPath,
    },
    /// The list or string is empty.
    #[display("empty; at least one {kind} is needed")]
    Empty {
        /// What it must contain at least one of.
        kind: ItemKind,
    },
    /// The address has port 0 or an unspecified IP address such as `0.0.0.0`.
    #[display("{value} cannot be dialled; give an IP number and a port other than 0")]
    NotDialable {
        /// The address.
        value: String,
    },
    /// The secret is too short. Its value is left out so that it does not reach logs.
    #[display("a secret of {bytes} bytes is too short; allowed: at least {min_bytes} bytes")]
    ShortSecret {
        /// Length of the secret.
        bytes: usize,
        /// Minimum length.
        min_bytes: usize,
    },
}

fn omitted_suffix(omitted: usize) -> String {
    match omitted {
        0 => String::new(),
        _ => format!(" and {omitted} more"),
    }
}

impl Problem {
    /// Prefixes the paths of other fields with that of the nested document.
    pub(super) fn nested_in(self, outer: &FieldPath) -> Self {
        match self {
            Self::Contradiction {
                value,
                other,
                constraint,
            } => Self::Contradiction {
                value,
                other: other.nested_in(outer),
                constraint,
            },
            Self::Duplicate { value, first } => Self::Duplicate {
                value,
                first: first.nested_in(outer),
            },
            problem => problem,
        }
    }
}

/// A constraint on the values of two fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Constraint {
    /// The first must not be larger than the second.
    #[display("it must not be larger")]
    AtMost,
    /// The first must be at most a third of the second.
    #[display("it must be at most a third")]
    AtMostThird,
    /// Some bodies of the largest size must fit into the memory for requests.
    #[display(
        "the memory leaves {request_bytes} bytes for requests, and they must suffice for {bodies} bodies"
    )]
    BodiesInMemory {
        /// Number of bodies.
        bodies: u64,
        /// Memory for requests that follows from the settings.
        request_bytes: u64,
    },
    /// A poll after one that got no answer must come before a change is overdue.
    #[display(
        "with {poll_ms} the poll after a lost one comes after up to {poll_after_loss_ms}, and a change must \
         be active within {bound_ms}"
    )]
    PollInTime {
        /// Interval between polls.
        poll_ms: Millis,
        /// Longest time from a lost poll to the next one.
        poll_after_loss_ms: Millis,
        /// Time within which a change must be active.
        bound_ms: Millis,
    },
    /// The two addresses must not conflict when both are listened on.
    #[display("both use the same port")]
    DistinctPorts,
    /// The second must be given because the first has an unspecified IP address, which agents
    /// cannot dial.
    #[display("agents cannot dial it, so that field must be given")]
    RequiresAdvertised,
}

/// What a name refers to, or what a list or string consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ItemKind {
    /// A failure domain of the inventory.
    #[display("failure domain")]
    Domain,
    /// A service of the inventory.
    #[display("service")]
    Service,
    /// A target of the inventory.
    #[display("target")]
    Target,
    /// An operator of the inventory.
    #[display("operator")]
    Operator,
    /// A group of the inventory.
    #[display("group")]
    Group,
    /// A SHA-256 digest of a bearer token.
    #[display("token digest")]
    Token,
    /// A character of a string that must not be empty.
    #[display("character")]
    Character,
    /// A session address of an entry.
    #[display("entry address")]
    EntryAddress,
}
