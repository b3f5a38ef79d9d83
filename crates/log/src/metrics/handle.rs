//! The handle through which the process records its metrics.

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
use super::flush::Sent;
use super::scrape::Distributions;
use super::scrape::now_s;
use super::series::Owner;
use super::series::Pending;
use super::series::Recorded;
use crate::LogError;
use crate::ProcessName;

/// Records metrics in memory; a flush sends them. Clones share their state.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    /// None if the settings name no statsd server; then nothing waits for a report.
    pub(super) client: Option<StatsdClient>,
    /// Totals since the start, by position in [`Counter::ALL`].
    pub(super) counters: [AtomicU64; Counter::ALL.len()],
    /// Last values, by position in [`Gauge::ALL`].
    pub(super) gauges: [AtomicU64; Gauge::ALL.len()],
    /// Totals since the start.
    pub(super) failures: Mutex<Vec<(FailureReason, u64)>>,
    pub(super) pending: Mutex<Pending>,
    pub(super) distributions: Distributions,
    /// Start of the process, in seconds since 1970.
    pub(super) started_s: f64,
    /// Totals at the last flush.
    pub(super) sent: Mutex<Sent>,
}

/// Every update leaves the value whole, so that a panic elsewhere does no harm to it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Metrics {
    /// Metrics that are sent to `address` when they are flushed, or kept only as totals.
    ///
    /// # Errors
    ///
    /// If no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>, process: &ProcessName) -> Result<Self, LogError> {
        let client = match address {
            Some(address) => Some(flush::client(address, process)?),
            None => None,
        };
        let shared = Shared {
            client,
            counters: array::from_fn(|_| AtomicU64::new(0)),
            gauges: array::from_fn(|_| AtomicU64::new(0)),
            failures: Mutex::default(),
            pending: Mutex::default(),
            distributions: Distributions::new(),
            started_s: now_s(),
            sent: Mutex::default(),
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

    /// Adds a sample to a histogram of a group and service.
    pub fn record(&self, series: Series, group: &GroupId, service: &ServiceName, value: u64) {
        self.record_all(group, service, &[(series, value)]);
    }

    /// Adds samples to several histograms of a group and service under one lock.
    pub fn record_all(&self, group: &GroupId, service: &ServiceName, values: &[(Series, u64)]) {
        self.shared.distributions.record(group, service, values);
        if self.shared.client.is_none() {
            return;
        }
        let owner = Owner::Pair(group.clone(), service.clone());
        let recorded = lock(&self.shared.pending).record(owner, values);
        match recorded {
            Recorded::Own => {}
            Recorded::Pooled => self.count(Counter::SeriesOverflow, values.len() as u64),
        }
    }

    /// Last value of a gauge.
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

    /// Sends what is due, at most about [`crate::FLUSH_BYTES`]; never blocks.
    ///
    /// A process calls this before it ends, so that its last counts are not lost.
    pub fn flush(&self) {
        flush::flush(&self.shared);
    }

    /// Flushes every [`crate::FLUSH_INTERVAL`] on a thread that ends with the last clone.
    pub(crate) fn start_flushing(&self) -> Result<(), LogError> {
        flush::start(Arc::downgrade(&self.shared))
    }
}
