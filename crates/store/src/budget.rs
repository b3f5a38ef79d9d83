//! The write budget of one process.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Limits the rate of writes; waiters are served in the order of their calls.
///
/// Writes that were not used are saved up for one period, so that sporadic writes never wait.
#[derive(Debug)]
pub struct WriteBudget {
    interval: Duration,
    /// Longest time by which `next` lies in the past.
    burst: Duration,
    /// Time from which the next write is allowed.
    next: Mutex<Instant>,
}

impl WriteBudget {
    /// A budget of `writes` in each `period`; zero counts as one.
    #[must_use]
    pub fn new(writes: u32, period: Duration) -> Self {
        let interval = period / writes.max(1);
        let burst = period.saturating_sub(interval);
        Self {
            interval,
            burst,
            next: Mutex::new(earlier(Instant::now(), burst)),
        }
    }

    /// A budget of so many writes a second.
    #[must_use]
    pub fn per_second(writes: u32) -> Self {
        Self::new(writes, Duration::from_secs(1))
    }

    /// Waits until a write is allowed and spends it; nothing is spent if the wait is given up.
    pub async fn acquire(&self) {
        let mut next = self.next.lock().await;
        if *next > Instant::now() {
            tokio::time::sleep_until(*next).await;
        }
        let oldest = earlier(Instant::now(), self.burst);
        *next = oldest.max(*next) + self.interval;
    }
}

/// A time before `now`, or `now` if the clock does not reach back so far.
fn earlier(now: Instant, by: Duration) -> Instant {
    now.checked_sub(by).unwrap_or(now)
}
