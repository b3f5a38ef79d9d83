//! Signal handling, and the trigger for reloading the settings file.

use std::io;
use std::time::Duration;

use tokio::signal::unix::Signal as SignalStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// How often the settings file is polled, since it may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Streams of the handled signals: SIGTERM and SIGINT request a stop, SIGHUP a settings reload.
pub struct Signals {
    terminate: SignalStream,
    interrupt: SignalStream,
    hangup: SignalStream,
}

impl Signals {
    /// Installs the handlers, which replace the default actions of these signals.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for SIGTERM or SIGINT; until then calls `reload` on each SIGHUP and poll interval.
    pub async fn wait_for_stop_or_reload(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reload(),
            }
        }
    }
}
