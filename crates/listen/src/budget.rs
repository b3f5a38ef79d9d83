//! Bytes of requests that a process holds over all connections.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use derive_more::Display;
use dfs_log::Counter;
use dfs_log::Gauge;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;

use crate::Account;
use crate::account::Shared;

/// Part of the budget that jobs may take which wait for their answer, in quarters. The rest is for requests that
/// still arrive, since jobs can't be evicted.
const JOB_QUARTERS: u64 = 3;
/// Memory for requests of a listener for probes or scrapes.
const PROBE_BYTES: u64 = 1 << 20;

/// The memory for requests does not suffice at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the memory for requests of this process is in use")]
pub struct BudgetSpent;

impl std::error::Error for BudgetSpent {}

/// Budget for the bytes of requests, shared by its clones.
///
/// When it is exceeded, the connections that have held bytes longest without finishing their request are evicted.
#[derive(Debug, Clone)]
pub struct RequestBudget {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limit_bytes: u64,
    held_bytes: AtomicU64,
    /// Part of `held_bytes` of connections that were evicted and have not released it yet.
    leaving_bytes: AtomicU64,
    job_bytes: AtomicU64,
    next_order: AtomicU64,
    /// Accounts whose request has not arrived whole, by the order in which they first held bytes.
    arriving: Mutex<BTreeMap<u64, Arc<Shared>>>,
    metrics: Metrics,
    /// Whether [`Gauge::RequestBytes`] shows this budget.
    is_published: bool,
}

impl RequestBudget {
    /// Creates a budget that nothing holds.
    #[must_use]
    pub fn new(limit_bytes: u64, metrics: Metrics) -> Self {
        Self::with(limit_bytes, metrics, true)
    }

    /// Budget of a listener for probes or scrapes, which starts before the process has a budget.
    pub(crate) fn of_probes(metrics: Metrics) -> Self {
        Self::with(PROBE_BYTES, metrics, false)
    }

    fn with(limit_bytes: u64, metrics: Metrics, is_published: bool) -> Self {
        Self {
            inner: Arc::new(Inner {
                limit_bytes,
                held_bytes: AtomicU64::new(0),
                leaving_bytes: AtomicU64::new(0),
                job_bytes: AtomicU64::new(0),
                next_order: AtomicU64::new(1),
                arriving: Mutex::default(),
                metrics,
                is_published,
            }),
        }
    }

    /// Opens the account of a new connection.
    #[must_use]
    pub fn open_account(&self, listener: Listener) -> Account {
        Account::new(self.clone(), listener)
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.inner.held_bytes.load(Ordering::Relaxed)
    }

    /// Most bytes that one job may hold until it is answered.
    #[must_use]
    pub fn max_job_bytes(&self) -> u64 {
        self.inner.limit_bytes / 4 * JOB_QUARTERS
    }

    /// Metrics of the process.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Whether evicted connections have yet to release what is over the limit. New bytes wait until then.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.held_bytes() > self.inner.limit_bytes
    }

    /// Adds bytes of a request that arrives, and evicts connections if the limit is exceeded.
    pub(crate) fn add_arriving(&self, account: &Arc<Shared>, bytes: u64) {
        self.inner.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let mut arriving = self.arriving();
        account.charged_bytes.fetch_add(bytes, Ordering::Relaxed);
        if account.order.load(Ordering::Relaxed) == 0 {
            let order = self.inner.next_order.fetch_add(1, Ordering::Relaxed);
            account.order.store(order, Ordering::Relaxed);
            arriving.insert(order, Arc::clone(account));
        }
        self.evict_excess(&mut arriving);
        self.publish();
    }

    /// Adds the bytes of a job, evicting connections if necessary.
    pub(crate) fn add_job(&self, bytes: u64) -> Result<(), BudgetSpent> {
        let inner = &self.inner;
        let jobs = inner.job_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if jobs > self.max_job_bytes() {
            inner.job_bytes.fetch_sub(bytes, Ordering::Relaxed);
            inner.metrics.count(Counter::JobsOverBudget, 1);
            dfs_log::emit(ProcessEvent::JobOverBudget {
                job_bytes: bytes,
                held_bytes: jobs - bytes,
                limit_bytes: self.max_job_bytes(),
            });
            return Err(BudgetSpent);
        }
        let held = inner.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if held > inner.limit_bytes {
            self.evict_excess(&mut self.arriving());
        }
        self.publish();
        Ok(())
    }

    pub(crate) fn remove_job(&self, bytes: u64) {
        self.inner.job_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.inner.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.publish();
    }

    /// Takes an account out of those that may be evicted; false if it has been evicted.
    pub(crate) fn set_arrived(&self, account: &Shared) -> bool {
        let order = account.order.load(Ordering::Relaxed);
        if order > 0 {
            self.arriving().remove(&order);
        }
        !account.is_evicted()
    }

    /// Removes all bytes of a request that arrived, or of one that was cut off.
    pub(crate) fn remove_arriving(&self, account: &Shared) {
        let mut arriving = self.arriving();
        arriving.remove(&account.order.swap(0, Ordering::Relaxed));
        let bytes = account.charged_bytes.swap(0, Ordering::Relaxed);
        if account.is_evicted() {
            self.inner.leaving_bytes.fetch_sub(
                account.leaving_bytes.swap(0, Ordering::Relaxed),
                Ordering::Relaxed,
            );
        }
        self.inner.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        drop(arriving);
        self.publish();
    }

    fn arriving(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Shared>>> {
        let arriving = &self.inner.arriving;
        arriving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict_excess(&self, arriving: &mut BTreeMap<u64, Arc<Shared>>) {
        let inner = &self.inner;
        loop {
            let leaving = inner.leaving_bytes.load(Ordering::Relaxed);
            let staying = self.held_bytes().saturating_sub(leaving);
            if staying <= inner.limit_bytes {
                return;
            }
            let Some((_, oldest)) = arriving.pop_first() else {
                return;
            };
            let bytes = oldest.charged_bytes.load(Ordering::Relaxed);
            oldest.leaving_bytes.store(bytes, Ordering::Relaxed);
            inner.leaving_bytes.fetch_add(bytes, Ordering::Relaxed);
            oldest.evict();
            inner.metrics.count(Counter::RequestsEvicted, 1);
            dfs_log::emit(ProcessEvent::RequestEvicted {
                request_bytes: bytes,
                held_bytes: staying,
                limit_bytes: inner.limit_bytes,
            });
        }
    }

    fn publish(&self) {
        if self.inner.is_published {
            let metrics = &self.inner.metrics;
            metrics.set(Gauge::RequestBytes, self.held_bytes());
        }
    }
}
