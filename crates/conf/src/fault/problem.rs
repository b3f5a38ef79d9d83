//! What can be wrong with a value.

use derive_more::Display;

use super::FieldPath;

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// The field does not exist.
    #[display("unknown field; allowed: {}", allowed.join(", "))]
    UnknownField {
        /// Fields that exist there.
        allowed: Vec<String>,
    },
    /// The field exists with another unit.
    #[display("unknown unit; write it as {expected}")]
    WrongUnit {
        /// The field with its unit.
        expected: String,
    },
    /// The field must be there.
    #[display("missing; it has no default")]
    Missing,
    /// The value does not have the form of its type.
    #[display("{value} is not valid: {message}")]
    Malformed {
        /// The value as JSON.
        value: String,
        /// What is expected.
        message: String,
    },
    /// The value is too small or too large.
    #[display("{value} is out of range; allowed: {min} to {max}")]
    OutOfRange {
        /// The value.
        value: String,
        /// Smallest allowed value.
        min: String,
        /// Largest allowed value.
        max: String,
    },
    /// The value does not go with that of another field.
    #[display("{value} contradicts {other}: {rule}")]
    Contradiction {
        /// The value.
        value: String,
        /// The other field.
        other: FieldPath,
        /// What must hold of both.
        rule: Rule,
    },
    /// The value stands for something that does not exist.
    #[display("{value} is not a known {kind}; known: {}{}", known.join(", "), more(*not_listed))]
    UnknownName {
        /// The value.
        value: String,
        /// What it should name.
        kind: Kind,
        /// Some of those that exist.
        known: Vec<String>,
        /// How many more exist.
        not_listed: usize,
    },
    /// The value stands elsewhere already.
    #[display("{value} is already used by {first}")]
    Duplicate {
        /// The value.
        value: String,
        /// Where it stands first.
        first: FieldPath,
    },
    /// The list must not be empty.
    #[display("empty; at least one {kind} is needed")]
    Empty {
        /// What it lists.
        kind: Kind,
    },
    /// The address cannot be dialled.
    #[display("{value} cannot be dialled; give an IP number and a port other than 0")]
    NotDialable {
        /// The address.
        value: String,
    },
    /// The secret is too short; its value is not shown.
    #[display("a secret of {bytes} bytes is too short; allowed: at least {min_bytes} bytes")]
    ShortSecret {
        /// Its length.
        bytes: usize,
        /// Smallest length.
        min_bytes: usize,
    },
}

fn more(not_listed: usize) -> String {
    match not_listed {
        0 => String::new(),
        _ => format!(" and {not_listed} more"),
    }
}

impl Problem {
    pub(super) fn inside(self, outer: &FieldPath) -> Self {
        match self {
            Self::Contradiction { value, other, rule } => Self::Contradiction {
                value,
                other: other.inside(outer),
                rule,
            },
            Self::Duplicate { value, first } => Self::Duplicate {
                value,
                first: first.inside(outer),
            },
            other => other,
        }
    }
}

/// What must hold of two fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Rule {
    /// The first is not larger than the second.
    #[display("it must not be larger")]
    AtMost,
    /// The first is at most a third of the second.
    #[display("it must be at most a third")]
    AtMostThird,
    /// The two are different.
    #[display("both use the same port")]
    Distinct,
    /// The second must be given because agents cannot dial the first.
    #[display("agents cannot dial it, so that field must be given")]
    NeedsAdvertised,
}

/// What a name stands for or a list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Kind {
    /// A failure domain.
    #[display("failure domain")]
    Domain,
    /// A service.
    #[display("service")]
    Service,
    /// A target.
    #[display("target")]
    Target,
    /// An operator.
    #[display("operator")]
    Operator,
    /// A group.
    #[display("group")]
    Group,
    /// A token digest.
    #[display("token digest")]
    Token,
    /// A character of a text.
    #[display("character")]
    Character,
    /// An address of an entry.
    #[display("entry address")]
    EntryAddress,
}
