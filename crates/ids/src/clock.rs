//! The monotonic clock of a process.

use std::time::Instant;

use crate::Moment;

/// Counts from its own start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Moment {
        let us = self.started.elapsed().as_micros();
        Moment::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }
}
