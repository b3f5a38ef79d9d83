//! Monotonic clock of a process.

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

use crate::Moment;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

/// Monotonic clock that starts at zero.
///
/// It also advances while the instance is suspended (`CLOCK_BOOTTIME`), so that leases expire during a
/// suspension too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_us: i64,
}

impl Clock {
    /// Starts a clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_us: boottime_us(),
        }
    }

    /// Time since [`Clock::start`].
    #[must_use]
    pub fn now(&self) -> Moment {
        let elapsed_us = boottime_us() - self.started_us;
        Moment::from_micros(u64::try_from(elapsed_us).unwrap_or_default())
    }
}

fn boottime_us() -> i64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec * MICROS_PER_SECOND + tv_nsec / NANOS_PER_MICRO
}
