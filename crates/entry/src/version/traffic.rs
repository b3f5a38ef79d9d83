//! What the process reads and passes on of the configuration.

use std::mem;

use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::ConfigEvent;
use dfs_log::Counter;
use dfs_log::Gauge;
use dfs_log::Metrics;

/// Time that one event sums up.
const WINDOW_MS: Millis = Millis::new(1_000);

/// Totals since the last event.
#[derive(Debug, Default)]
pub(super) struct ConfigTraffic {
    /// When the first of the totals was recorded; `None` if there are none.
    since: Option<Moment>,
    reads: u64,
    read_bytes: u64,
    read_ms: Millis,
    read_versions: u64,
    updates: u64,
    full_updates: u64,
    update_bytes: u64,
    queued_messages: u64,
}

/// An answered read of the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnsweredRead {
    pub bytes: u64,
    /// Time until the answer.
    pub read_ms: Millis,
    pub versions: u64,
}

/// An update sent to an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentUpdate {
    pub bytes: u64,
    pub is_full: bool,
}

impl ConfigTraffic {
    /// Records a read; one without a version begins no window.
    pub fn record_read(&mut self, now: Moment, read: AnsweredRead, metrics: &Metrics) {
        metrics.count(Counter::ConfigBytesRead, read.bytes);
        if read.versions > 0 {
            self.since.get_or_insert(now);
        }
        self.reads += 1;
        self.read_bytes += read.bytes;
        self.read_ms = self.read_ms.max(read.read_ms);
        self.read_versions += read.versions;
    }

    pub fn record_update(&mut self, now: Moment, update: SentUpdate, metrics: &Metrics) {
        metrics.count(Counter::ConfigUpdatesSent, 1);
        metrics.count(Counter::ConfigBytesSent, update.bytes);
        self.since.get_or_insert(now);
        self.updates += 1;
        self.full_updates += u64::from(update.is_full);
        self.update_bytes += update.bytes;
    }

    pub fn record_queue(&mut self, queued_messages: u64, metrics: &Metrics) {
        metrics.set(Gauge::QueuedMessages, queued_messages);
        self.queued_messages = self.queued_messages.max(queued_messages);
    }

    /// Returns the event for the totals if their window is over, and begins anew.
    pub fn take_event(&mut self, now: Moment, version: ConfigVersion) -> Option<ConfigEvent> {
        let Some(since) = self.since else {
            // Reads that found nothing new are not worth an event.
            *self = Self::default();
            return None;
        };
        if now < since + WINDOW_MS {
            return None;
        }
        let totals = mem::take(self);
        Some(ConfigEvent::Traffic {
            version,
            reads: totals.reads,
            read_bytes: totals.read_bytes,
            read_ms: totals.read_ms,
            read_versions: totals.read_versions,
            updates: totals.updates,
            full_updates: totals.full_updates,
            update_bytes: totals.update_bytes,
            queued_messages: totals.queued_messages,
        })
    }
}
