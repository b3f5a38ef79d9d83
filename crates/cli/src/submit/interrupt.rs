//! Interrupts from the terminal.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Interrupts since it was made; none that comes between two waits is missed.
#[derive(Debug)]
pub struct Interrupts {
    /// Absent if the operating system gives no signals; then the default action ends the tool.
    signals: Option<Signal>,
    any: bool,
}

impl Interrupts {
    /// Starts to listen.
    #[must_use]
    pub fn listen() -> Self {
        Self {
            signals: signal(SignalKind::interrupt()).ok(),
            any: false,
        }
    }

    /// Waits for the next interrupt.
    pub async fn next(&mut self) {
        match &mut self.signals {
            Some(signals) => {
                signals.recv().await;
                self.any = true;
            }
            None => std::future::pending().await,
        }
    }

    /// Whether there has been one.
    #[must_use]
    pub const fn any(&self) -> bool {
        self.any
    }
}
