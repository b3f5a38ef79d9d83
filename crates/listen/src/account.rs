//! Bytes that the request of one connection holds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dfs_log::ClientLimit;
use dfs_log::Counter;
use dfs_log::Listener;
use dfs_log::ProcessEvent;
use futures::task::AtomicWaker;

use crate::BudgetSpent;
use crate::RequestBudget;

/// First bytes of a request, which the memory of a connection includes: an ordinary request does not reach the budget.
const FREE_BYTES: u64 = 4 << 10;
/// Steps in which bytes are charged, so that most reads don't change the budget.
const STEP_BYTES: u64 = 4 << 10;
/// Bytes held for each that has arrived: buffers grow by doubling.
const HELD_PER_BYTE: u64 = 2;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The next request.
    Idle,
    /// The rest of the head of a request.
    Head,
    /// The rest of a body, or the answer.
    Request,
}

/// Account of a connection in a [`RequestBudget`], shared by its clones. Whoever handles a request of the connection
/// finds it among the request's extensions.
#[derive(Debug, Clone)]
pub struct Account {
    budget: RequestBudget,
    listener: Listener,
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    /// Bytes of the current request that have arrived.
    received_bytes: AtomicU64,
    pub charged_bytes: AtomicU64,
    /// Bytes charged when the request was evicted.
    pub leaving_bytes: AtomicU64,
    /// Place in the order in which connections are evicted; 0 if it has none.
    pub order: AtomicU64,
    is_evicted: AtomicBool,
    /// Whether the client is authenticated and its messages are not counted.
    is_trusted: AtomicBool,
    phase: AtomicU8,
    /// Task of the connection while it waits for input.
    waker: AtomicWaker,
}

impl Shared {
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    pub fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.waker.wake();
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        debug_assert_eq!(*self.charged_bytes.get_mut(), 0, "bytes were not released");
    }
}

impl Account {
    pub(crate) fn new(budget: RequestBudget, listener: Listener) -> Self {
        let shared = Shared {
            received_bytes: AtomicU64::new(0),
            charged_bytes: AtomicU64::new(0),
            leaving_bytes: AtomicU64::new(0),
            order: AtomicU64::new(0),
            is_evicted: AtomicBool::new(false),
            is_trusted: AtomicBool::new(false),
            phase: AtomicU8::new(Phase::Idle as u8),
            waker: AtomicWaker::new(),
        };
        Self {
            budget,
            listener,
            shared: Arc::new(shared),
        }
    }

    /// Whether the connection must release its bytes for newer ones, or make room for another connection.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.shared.is_evicted()
    }

    /// Closes the connection, unless it is answered first.
    pub(crate) fn evict(&self) {
        self.shared.evict();
    }

    pub(crate) fn register(&self, waker: &std::task::Waker) {
        self.shared.waker.register(waker);
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.shared.phase.load(Ordering::Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Head,
            _ => Phase::Request,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.shared.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Whether reading has to wait until evicted connections have released their bytes.
    pub(crate) fn must_wait(&self) -> bool {
        self.budget.is_exceeded()
    }

    /// Counts bytes of the request that have arrived.
    pub(crate) fn receive(&self, bytes: usize) {
        let bytes = bytes as u64;
        let received = self.shared.received_bytes.load(Ordering::Relaxed) + bytes;
        self.shared
            .received_bytes
            .store(received, Ordering::Relaxed);
        if received <= FREE_BYTES || self.shared.is_trusted.load(Ordering::Relaxed) {
            return;
        }
        let steps = (received - FREE_BYTES).div_ceil(STEP_BYTES);
        let held = steps * STEP_BYTES * HELD_PER_BYTE;
        let charged = self.shared.charged_bytes.load(Ordering::Relaxed);
        if held > charged {
            self.budget.add_arriving(&self.shared, held - charged);
        }
    }

    /// The request has arrived whole, and is not evicted any more.
    ///
    /// # Errors
    ///
    /// It has been evicted.
    pub fn set_arrived(&self) -> Result<(), BudgetSpent> {
        if self.budget.set_arrived(&self.shared) {
            Ok(())
        } else {
            Err(BudgetSpent)
        }
    }

    /// Holds memory for the decoded form of the request until the result is dropped, in place of its bytes.
    ///
    /// # Errors
    ///
    /// The budget has no room for it.
    pub fn hold(&self, bytes: u64) -> Result<HeldBytes, BudgetSpent> {
        self.release();
        if bytes <= FREE_BYTES {
            return Ok(HeldBytes(None));
        }
        self.budget.add_job(bytes)?;
        Ok(HeldBytes(Some((self.budget.clone(), bytes))))
    }

    /// Most bytes that [`Self::hold`] can ever grant.
    #[must_use]
    pub fn max_held_bytes(&self) -> u64 {
        self.budget.max_job_bytes()
    }

    /// The client is authenticated: its messages are not counted from now on, and it has no time limits.
    pub fn set_trusted(&self) {
        self.shared.is_trusted.store(true, Ordering::Relaxed);
        self.set_phase(Phase::Request);
        self.release();
    }

    pub(crate) fn received_bytes(&self) -> u64 {
        self.shared.received_bytes.load(Ordering::Relaxed)
    }

    /// Logs and counts a client that is refused or cut off.
    pub(crate) fn log_cut_off(&self, limit: ClientLimit) {
        self.budget.metrics().count(Counter::ClientsCutOff, 1);
        dfs_log::emit(ProcessEvent::ClientCutOff {
            listener: self.listener,
            limit,
        });
    }

    /// The request is answered or cut off: releases its bytes.
    pub(crate) fn release(&self) {
        self.shared.received_bytes.store(0, Ordering::Relaxed);
        if self.shared.charged_bytes.load(Ordering::Relaxed) > 0 {
            self.budget.remove_arriving(&self.shared);
        }
    }
}

/// Memory that [`Account::hold`] has granted.
#[derive(Debug)]
pub struct HeldBytes(Option<(RequestBudget, u64)>);

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some((budget, bytes)) = &self.0 {
            budget.remove_job(*bytes);
        }
    }
}
