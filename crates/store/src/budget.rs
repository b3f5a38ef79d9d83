//! Rate limit on the writes of one process.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Token bucket that limits the rate of writes. Callers that have to wait are served in order.
///
/// Unused writes accumulate for at most one period, so a burst of up to one period of writes passes
/// without a wait.
#[derive(Debug)]
pub struct WriteBudget {
    interval: Duration,
    /// Longest time by which `next_allowed` may lie in the past, which bounds a burst.
    burst: Duration,
    /// Time from which the next write is allowed.
    next_allowed: Mutex<Instant>,
}

impl WriteBudget {
    /// Allows `writes` in each `period`; zero counts as one. The bucket is full at the start.
    #[must_use]
    pub fn new(writes: u32, period: Duration) -> Self {
        let interval = period / writes.max(1);
        let burst = period.saturating_sub(interval);
        Self {
            interval,
            burst,
            next_allowed: Mutex::new(saturating_earlier(Instant::now(), burst)),
        }
    }

    /// Allows `writes` each second; zero counts as one.
    #[must_use]
    pub fn per_second(writes: u32) -> Self {
        Self::new(writes, Duration::from_secs(1))
    }

    /// Waits until a write is allowed and consumes it. Dropping the future while it waits consumes
    /// nothing.
    pub async fn acquire(&self) {
        let mut next_allowed = self.next_allowed.lock().await;
        if *next_allowed > Instant::now() {
            tokio::time::sleep_until(*next_allowed).await;
        }
        let earliest = saturating_earlier(Instant::now(), self.burst);
        *next_allowed = earliest.max(*next_allowed) + self.interval;
    }
}

/// The time `by` before `now`, or `now` if an [`Instant`] cannot represent it.
fn saturating_earlier(now: Instant, by: Duration) -> Instant {
    now.checked_sub(by).unwrap_or(now)
}
