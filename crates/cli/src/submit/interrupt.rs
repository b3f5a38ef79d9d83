//! Interrupts (`SIGINT`, Ctrl-C) from the terminal.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Listener for interrupts; one that arrives between two calls of [`Interrupts::next`] is kept for
/// the next call.
#[derive(Debug)]
pub struct Interrupts {
    /// `None` if the handler could not be installed; an interrupt then ends the process by the
    /// default action.
    signals: Option<Signal>,
    /// Whether `next` has returned.
    interrupted: bool,
}

impl Interrupts {
    /// Installs the signal handler.
    #[must_use]
    pub fn listen() -> Self {
        Self {
            signals: signal(SignalKind::interrupt()).ok(),
            interrupted: false,
        }
    }

    /// Waits for the next interrupt.
    pub async fn next(&mut self) {
        match &mut self.signals {
            Some(signals) => {
                signals.recv().await;
                self.interrupted = true;
            }
            None => std::future::pending().await,
        }
    }

    /// Whether [`Interrupts::next`] has returned an interrupt before.
    #[must_use]
    pub const fn interrupted(&self) -> bool {
        self.interrupted
    }
}
