//! Handle for recording metrics.

use std::array;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cadence::StatsdClient;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use dfs_wire::api::FailureReason;

use super::Counter;
use super::Gauge;
use super::Series;
use super::flush;
use super::flush::FlushedTotals;
use super::scrape::CumulativeHistograms;
use super::scrape::unix_time_s;
use super::series::PendingHistograms;
use super::series::RecordedUnder;
use super::series::SeriesKey;
use crate::LogError;
use crate::ProcessName;

/// Registry of the metrics of a process, shared by its clones.
///
/// Metrics are recorded in memory. They are scraped from there, and a flush sends them over statsd.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    /// `None` if the settings name no statsd server; then no histograms are collected for a flush.
    pub(super) statsd: Option<StatsdClient>,
    /// Totals since the start of the process, in the order of [`Counter::ALL`].
    pub(super) counters: [AtomicU64; Counter::ALL.len()],
    /// Current values, in the order of [`Gauge::ALL`].
    pub(super) gauges: [AtomicU64; Gauge::ALL.len()],
    /// Refused and failed submissions since the start of the process.
    pub(super) failures: Mutex<Vec<(FailureReason, u64)>>,
    /// Samples not yet sent over statsd.
    pub(super) pending: Mutex<PendingHistograms>,
    /// Samples since the start of the process, for scraping.
    pub(super) cumulative: CumulativeHistograms,
    /// Start of the process, in seconds since the Unix epoch.
    pub(super) start_time_s: f64,
    /// Totals at the last flush.
    pub(super) flushed: Mutex<FlushedTotals>,
}

/// Locks a mutex, also a poisoned one: no update can leave its value half changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Metrics {
    /// Creates metrics that a flush sends to the statsd server at `address`.
    ///
    /// Without an address a flush does nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket or the statsd client can't be set up.
    pub fn new(address: Option<SocketAddr>, process: &ProcessName) -> Result<Self, LogError> {
        let statsd = match address {
            Some(address) => Some(flush::statsd_client(address, process)?),
            None => None,
        };
        let shared = Shared {
            statsd,
            counters: array::from_fn(|_| AtomicU64::new(0)),
            gauges: array::from_fn(|_| AtomicU64::new(0)),
            failures: Mutex::default(),
            pending: Mutex::default(),
            cumulative: CumulativeHistograms::new(),
            start_time_s: unix_time_s(),
            flushed: Mutex::default(),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Adds to a counter.
    pub fn count(&self, counter: Counter, n: u64) {
        self.shared.counters[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Counts a refused or failed submission.
    pub fn count_failure(&self, reason: FailureReason) {
        let mut failures = lock(&self.shared.failures);
        match failures.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, total)) => *total += 1,
            None => failures.push((reason, 1)),
        }
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.shared.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Adds a sample to the histogram of a group and service.
    pub fn record(&self, series: Series, group: &GroupId, service: &ServiceName, value: u64) {
        self.record_all(group, service, &[(series, value)]);
    }

    /// Adds samples to several histograms of a group and service under one lock.
    pub fn record_all(&self, group: &GroupId, service: &ServiceName, values: &[(Series, u64)]) {
        self.shared.cumulative.record(group, service, values);
        if self.shared.statsd.is_none() {
            return;
        }
        let key = SeriesKey::Pair(group.clone(), service.clone());
        let recorded_under = lock(&self.shared.pending).record(key, values);
        match recorded_under {
            RecordedUnder::OwnKey => {}
            RecordedUnder::Other => self.count(Counter::SeriesOverflow, values.len() as u64),
        }
    }

    /// Current value of a gauge.
    #[must_use]
    pub fn value(&self, gauge: Gauge) -> u64 {
        self.shared.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Total of a counter since the start of the process.
    #[must_use]
    pub fn total(&self, counter: Counter) -> u64 {
        self.shared.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Refused and failed submissions since the start of the process, by reason.
    #[must_use]
    pub fn failures(&self) -> Vec<(FailureReason, u64)> {
        lock(&self.shared.failures).clone()
    }

    /// Sends counters, gauges and pending histograms over statsd without blocking.
    ///
    /// Once [`crate::FLUSH_BUDGET_BYTES`] are sent, the remaining histograms wait for the next flush.
    ///
    /// A process calls this before it exits, so that its last counts are not lost.
    pub fn flush(&self) {
        flush::flush(&self.shared);
    }

    /// Starts a thread that flushes every [`crate::FLUSH_INTERVAL`] until all clones are dropped.
    pub(crate) fn start_flushing(&self) -> Result<(), LogError> {
        flush::spawn_flush_thread(Arc::downgrade(&self.shared))
    }
}
