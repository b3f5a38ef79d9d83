//! Durations and timestamps in integer units, for decision code that performs no I/O.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use derive_more::Display;
use derive_more::From;
use derive_more::FromStr;
use derive_more::Into;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

const MILLIS_PER_SECOND: u64 = 1_000;

/// A duration in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    From,
    Into,
    Sum,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Wraps a number of milliseconds.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// The number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The duration in whole seconds, rounded up.
    #[must_use]
    pub const fn ceil_seconds(self) -> u64 {
        self.0.div_ceil(MILLIS_PER_SECOND)
    }

    /// This duration minus `other`, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Millis {
    type Output = Self;

    /// Saturates at the longest duration instead of overflowing.
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Millis> for Duration {
    fn from(duration: Millis) -> Self {
        Self::from_millis(duration.0)
    }
}

/// A timestamp of one process's monotonic clock, in microseconds since that clock started.
///
/// Other processes must not interpret it: it is sent to them only to be returned unchanged.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
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
#[display("{_0} µs")]
#[serde(transparent)]
pub struct Moment(u64);

const MICROS_PER_MILLI: u64 = 1_000;

impl Moment {
    /// The timestamp `us` microseconds after the start of the clock.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// The timestamp `ms` milliseconds after the start of the clock.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * MICROS_PER_MILLI)
    }

    /// Microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds elapsed since `earlier`, or zero if `earlier` is later than this timestamp.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / MICROS_PER_MILLI)
    }

    /// Microseconds elapsed since `earlier`, or zero if `earlier` is later than this timestamp.
    #[must_use]
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Millis> for Moment {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(
            self.0
                .saturating_add(duration.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }
}

impl Sub<Millis> for Moment {
    type Output = Self;

    fn sub(self, duration: Millis) -> Self {
        Self(
            self.0
                .saturating_sub(duration.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }
}
