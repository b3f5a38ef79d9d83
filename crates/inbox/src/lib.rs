//! Commands and ticks of the one task that owns the decisions of a process, and its planned stop.

mod stop;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

pub use stop::ShutdownOutcome;
pub use stop::graceful_shutdown;

/// Time between two looks at leases, renewals and deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Most commands that are taken before their consequences are sent.
const MAX_BATCH: usize = 256;

/// Why the task wakes.
#[derive(Debug)]
pub enum Wake<C> {
    /// Commands that wait, at least one.
    Commands(Vec<C>),
    /// Time has passed.
    Tick,
    /// Every handle is dropped.
    Closed,
}

/// The receiving end.
#[derive(Debug)]
pub struct Inbox<C> {
    commands: mpsc::UnboundedReceiver<C>,
    tick: Interval,
    open: Arc<AtomicUsize>,
}

/// The sending end, cheap to clone.
#[derive(Debug)]
pub struct Handle<C> {
    commands: mpsc::UnboundedSender<C>,
    open: Arc<AtomicUsize>,
}

impl<C> Inbox<C> {
    /// An empty inbox; its ticks need a running runtime.
    #[must_use]
    pub fn new() -> (Self, Handle<C>) {
        let (sender, commands) = mpsc::unbounded_channel();
        let open = Arc::new(AtomicUsize::new(0));
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let handle = Handle {
            commands: sender,
            open: Arc::clone(&open),
        };
        let inbox = Self {
            commands,
            tick,
            open,
        };
        (inbox, handle)
    }

    /// Waits for commands or the next tick.
    pub async fn next(&mut self) -> Wake<C> {
        let mut batch = Vec::new();
        tokio::select! {
            taken = self.commands.recv_many(&mut batch, MAX_BATCH) => match taken {
                0 => Wake::Closed,
                _ => Wake::Commands(batch),
            },
            _ = self.tick.tick() => Wake::Tick,
        }
    }

    /// Tells the handles how much work is open.
    pub fn set_open_work(&self, open: usize) {
        self.open.store(open, Ordering::Relaxed);
    }
}

impl<C> Handle<C> {
    /// Passes a command on. Callers, sessions and running tasks are bounded and wait for replies, so
    /// the queue is.
    pub fn send(&self, command: C) {
        // The task outlives every other one; after it only the process ends.
        let _ = self.commands.send(command);
    }

    /// Passes on an event that needs no reply.
    pub fn send_event<E>(&self, event: E)
    where
        C: From<E>,
    {
        self.send(C::from(event));
    }

    /// Open work, as of the latest batch of commands.
    #[must_use]
    pub fn open_work(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            open: Arc::clone(&self.open),
        }
    }
}
