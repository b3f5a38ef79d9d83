//! Whether the store is reachable.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::ConfigEvent;
use dfs_log::ErrorText;
use snafu::Error;

use super::ActiveConfig;

/// Logs one event when the store stops answering and one when it answers again.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_unreachable: bool,
    /// Reads that failed or were overdue since the store stopped answering.
    failed_reads: u64,
    /// How much later than due the latest read was sent.
    late_ms: Millis,
}

impl StoreHealth {
    /// Records that a read which was due at `due_at` is sent now. The delay is this process's own.
    pub fn record_sent(&mut self, now: Moment, due_at: Moment) {
        self.late_ms = now.since(due_at);
    }

    /// Records a successful read that took `read_ms`, which confirms that the active version is the
    /// latest.
    pub fn record_success(&mut self, active_config: &ActiveConfig, read_ms: Millis) {
        if std::mem::take(&mut self.is_unreachable) {
            dfs_log::emit(ConfigEvent::StoreReachable {
                outage_ms: active_config.age_ms().unwrap_or_default(),
                failed_reads: std::mem::take(&mut self.failed_reads),
                read_ms,
                late_ms: self.late_ms,
            });
        }
        active_config.mark_confirmed();
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, active_config: &ActiveConfig, error: &dyn Error) {
        self.failed_reads += 1;
        if !std::mem::replace(&mut self.is_unreachable, true) {
            dfs_log::emit(ConfigEvent::StoreUnreachable {
                silent_ms: active_config.age_ms().unwrap_or_default(),
                version: active_config.current().map(|config| config.version),
                late_ms: self.late_ms,
                error: ErrorText::new(error),
            });
        }
    }
}
