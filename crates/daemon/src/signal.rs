//! Signals from outside, and changes of the settings file.

use std::io;
use std::time::Duration;

use tokio::signal::unix::Signal as SignalStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    terminate: SignalStream,
    interrupt: SignalStream,
    hangup: SignalStream,
}

impl Signals {
    /// Takes the signals over from the system's defaults.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal that asks for a stop.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for a stop; calls `reload` whenever the settings may have changed before.
    pub async fn stop_or(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
                () = tokio::time::sleep(LOOK) => reload(),
            }
        }
    }
}
