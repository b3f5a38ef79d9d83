//! Counters and sizes.

use derive_more::Add;
use derive_more::Display;
use derive_more::From;
use derive_more::FromStr;
use derive_more::Into;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, FromStr, From, Into, Add, Sum, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number!(
    /// Position of a task in its submission.
    TaskIndex(u32)
);
number!(
    /// How often a task had been placed before this placement.
    Attempt(u32)
);
number!(
    /// Number of a session, counted by the entry that opens it.
    SessionNumber(u64)
);
number!(
    /// Version of the configuration; a higher one replaces a lower one.
    ConfigVersion(u64)
);
number!(
    /// Urgency of a submission; zero goes first.
    Priority(u8)
);
number!(
    /// Slots of a target: tasks that it runs at once.
    Slots(u32)
);

/// One life of a process, drawn at random when it starts.
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
    /// Wraps a random number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The plain number.
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
