//! Integer types: indices, counters, versions and sizes.

use derive_more::Add;
use derive_more::Display;
use derive_more::From;
use derive_more::FromStr;
use derive_more::Into;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

macro_rules! integer_type {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, FromStr, From, Into, Add, Sum, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Wraps a plain integer.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// The plain integer.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// The value incremented by one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

integer_type!(
    /// Zero-based position of a task in its submission.
    TaskIndex(u32)
);
integer_type!(
    /// Number of earlier placements of the task; zero for the first.
    Attempt(u32)
);
integer_type!(
    /// Number of a session, assigned in ascending order by the entry that opens it.
    SessionNumber(u64)
);
integer_type!(
    /// Orders the incarnations of an agent that have taken over its target: the target has refused all orders of those
    /// with a lower number since.
    TakeoverNumber(u64)
);
integer_type!(
    /// Version of the configuration; a higher version supersedes a lower one.
    ConfigVersion(u64)
);
integer_type!(
    /// Revision of a row in the table service. Every commit gives the rows that it writes a revision that no row has had
    /// before, so a row that still has the same revision has not been written since.
    Revision(u64)
);
integer_type!(
    /// Scheduling priority of a submission; zero is the most urgent.
    Priority(u8)
);
integer_type!(
    /// Number of tasks that a target runs concurrently.
    Slots(u32)
);

/// Distinguishes a process from earlier ones of the same name; drawn at random when it starts.
///
/// Printed and parsed as hexadecimal.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps the number drawn at the start of the process.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The plain integer.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::str::FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
