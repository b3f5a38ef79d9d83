//! Waits with a limit.

use std::time::Duration;
use std::time::Instant;

/// Limit of every wait, generous enough that no test result depends on the speed of the machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
