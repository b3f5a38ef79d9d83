//! Timeout for the responses of a target, derived from its measured response times.
//!
//! An order without an answer keeps its task from running until the timeout, so a target whose answers
//! sometimes get lost must not be given much longer than it usually takes. A timeout that is too short costs
//! one poll of the target, which shows that the order was executed.

use dfs_ids::Millis;

/// Weight of the latest response time in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the latest deviation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations by which a response may exceed the mean response time.
const DEVIATIONS: f64 = 4.0;
/// Limit on the number of times that the timeout doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Estimates a timeout as TCP does for its retransmissions (RFC 6298): from the moving mean of the response
/// times and of their deviation. Each timeout doubles it until a response arrives.
#[derive(Debug, Clone)]
pub struct ResponseTimer {
    min_ms: Millis,
    max_ms: Millis,
    /// Mean and mean deviation in milliseconds; `None` until the first response.
    estimate: Option<Estimate>,
    /// Timeouts since the last response.
    timeouts: u32,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

impl ResponseTimer {
    /// Creates a timer without measurements, whose timeout stays between `min_ms` and `max_ms`.
    #[must_use]
    pub const fn new(min_ms: Millis, max_ms: Millis) -> Self {
        Self {
            min_ms,
            max_ms,
            estimate: None,
            timeouts: 0,
        }
    }

    /// Records the time in which a response arrived.
    #[expect(
        clippy::cast_precision_loss,
        reason = "response times stay far below 2^52 ms"
    )]
    pub fn record_response(&mut self, elapsed_ms: Millis) {
        self.timeouts = 0;
        let elapsed_ms = elapsed_ms.get() as f64;
        let estimate = self.estimate.get_or_insert(Estimate {
            mean_ms: elapsed_ms,
            deviation_ms: elapsed_ms / 2.0,
        });
        let error_ms = elapsed_ms - estimate.mean_ms;
        estimate.deviation_ms += DEVIATION_WEIGHT * (error_ms.abs() - estimate.deviation_ms);
        estimate.mean_ms += MEAN_WEIGHT * error_ms;
    }

    /// Records that no response arrived within the timeout.
    pub fn record_timeout(&mut self) {
        self.timeouts = (self.timeouts + 1).min(MAX_DOUBLINGS);
    }

    /// Time after which a response counts as lost; the maximum until the first response was measured.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number of milliseconds; a larger one saturates"
    )]
    pub fn timeout_ms(&self) -> Millis {
        let Some(estimate) = self.estimate else {
            return self.max_ms;
        };
        let usual_ms = estimate.mean_ms + DEVIATIONS * estimate.deviation_ms;
        let timeout_ms = Millis::new(usual_ms.ceil() as u64).max(self.min_ms);
        Millis::new(timeout_ms.get() << self.timeouts).min(self.max_ms)
    }
}
