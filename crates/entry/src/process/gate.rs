//! Whether the process is ready, draining or stopped.

use tokio::sync::watch;

/// Phase of the process, in the order in which it passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Serving,
    /// Reported as not ready to the balancer, still taking submissions.
    Unready,
    /// Refuses new submissions.
    Draining,
    /// Closes every connection.
    Closed,
}

/// Shared view of the phase.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    phase: watch::Sender<Phase>,
}

impl Gate {
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Moves on; the phase never goes back.
    pub fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let later = to > *phase;
            *phase = to.max(*phase);
            later
        });
    }

    pub fn is_serving(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
    }

    /// Resolves once the phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut watched = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = watched.wait_for(|now| *now >= phase).await;
    }
}
