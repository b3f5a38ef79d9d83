//! The monotonic clock of a process.

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

use crate::Moment;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

/// Counts from its own start, also while the instance is suspended, so that leases run out then too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_us: i64,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_us: now_us(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Moment {
        let us = now_us() - self.started_us;
        Moment::from_micros(u64::try_from(us).unwrap_or_default())
    }
}

fn now_us() -> i64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec * MICROS_PER_SECOND + tv_nsec / NANOS_PER_MICRO
}
