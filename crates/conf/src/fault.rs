//! Faults of settings and of the configuration.

use derive_more::Display;
use derive_more::From;
use serde::Serialize;
use snafu::Snafu;

/// Place of a value in a document, as `groups[2].share`; empty for the whole document.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize)]
#[serde(transparent)]
pub struct FieldPath(String);

impl FieldPath {
    /// A path from its text.
    #[must_use]
    pub fn new(path: impl Into<String>) -> Self {
        Self(path.into())
    }

    /// The path of a field of this value.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        if self.0.is_empty() {
            Self(name.to_owned())
        } else {
            Self(format!("{self}.{name}"))
        }
    }

    /// The path of an element of this value.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{self}[{index}]"))
    }

    /// The same path, seen from a document in which `outer` is this one.
    fn inside(&self, outer: &Self) -> Self {
        match self.0.chars().next() {
            None => outer.clone(),
            Some('[') => Self(format!("{outer}{self}")),
            Some(_) => outer.field(&self.0),
        }
    }

    /// Whether this is `outer` or a part of it.
    #[must_use]
    pub fn is_within(&self, outer: &Self) -> bool {
        self.0.strip_prefix(&outer.0).is_some_and(|rest| {
            outer.0.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
        })
    }
}

/// One fault: where, and what is wrong with which value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}{problem}", prefix(path))]
pub struct Fault {
    /// Place of the value.
    pub path: FieldPath,
    /// What is wrong with it.
    pub problem: Problem,
}

fn prefix(path: &FieldPath) -> String {
    if path.0.is_empty() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

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
    fn inside(self, outer: &FieldPath) -> Self {
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

/// All faults of a document, never none.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(faults)))]
pub struct Faults {
    /// The faults in the order in which they were found.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// The same faults, of a document that is a field of another.
    pub(crate) fn within(self, name: &str) -> impl Iterator<Item = Fault> {
        let outer = FieldPath::new(name);
        self.faults.into_iter().map(move |fault| Fault {
            path: fault.path.inside(&outer),
            problem: fault.problem.inside(&outer),
        })
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

/// The value if there are no faults.
pub(crate) fn unless_faulty<T>(value: T, faults: Vec<Fault>) -> Result<T, Faults> {
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(Faults { faults })
    }
}
