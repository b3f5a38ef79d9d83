//! The write budget of one process.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Spaces the writes of one process; waiters are served in the order of their calls.
#[derive(Debug)]
pub struct WriteBudget {
    interval: Duration,
    /// Earliest time of the next write.
    next: Mutex<Instant>,
}

impl WriteBudget {
    /// A budget of `writes` in each `period`, evenly spaced; zero counts as one.
    #[must_use]
    pub fn new(writes: u32, period: Duration) -> Self {
        Self {
            interval: period / writes.max(1),
            next: Mutex::new(Instant::now()),
        }
    }

    /// A budget of so many writes a second.
    #[must_use]
    pub fn per_second(writes: u32) -> Self {
        Self::new(writes, Duration::from_secs(1))
    }

    /// Time between two writes.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.interval
    }

    /// Waits until a write is allowed and spends it.
    pub async fn acquire(&self) {
        let mut next = self.next.lock().await;
        tokio::time::sleep_until(*next).await;
        *next = Instant::now() + self.interval;
    }
}
