//! Phases of the process from serving to closed.

use tokio::sync::watch;

/// Phases of the process, in the order in which it passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Serving,
    /// Reports itself as not ready to the load balancer, but still accepts submissions.
    Unready,
    /// Refuses new submissions.
    Draining,
    /// Closes every connection.
    Closed,
}

/// Shared handle to the current phase.
#[derive(Debug, Clone)]
pub(crate) struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Lifecycle {
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Advances to a later phase; does nothing if the process is already in that phase or beyond.
    pub fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let is_later = to > *phase;
            *phase = to.max(*phase);
            is_later
        });
    }

    pub fn is_serving(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
    }

    /// Resolves once the process is in the given phase or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
