//! Input queue of the event loop that owns the policy of a process, and the graceful shutdown of
//! the process.

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

/// Time between two ticks, at which the policy checks leases, renewals and deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of commands that are handled at most before the resulting messages are sent.
const MAX_BATCH_COMMANDS: usize = 256;

/// What [`Inbox::next`] waited for.
#[derive(Debug)]
pub enum Wake<C> {
    /// The commands that were waiting, at least one.
    Commands(Vec<C>),
    /// The tick interval has passed.
    Tick,
    /// Every handle was dropped, and no command is left.
    Closed,
}

/// The receiving end, held by the event loop.
#[derive(Debug)]
pub struct Inbox<C> {
    commands: mpsc::UnboundedReceiver<C>,
    ticks: Interval,
    open_work: Arc<AtomicUsize>,
}

/// The sending end; clones share the queue.
#[derive(Debug)]
pub struct Handle<C> {
    commands: mpsc::UnboundedSender<C>,
    open_work: Arc<AtomicUsize>,
}

impl<C> Inbox<C> {
    /// Creates an empty inbox and its first handle.
    ///
    /// # Panics
    ///
    /// Outside a Tokio runtime with a timer.
    #[must_use]
    pub fn new() -> (Self, Handle<C>) {
        let (sender, commands) = mpsc::unbounded_channel();
        let open_work = Arc::new(AtomicUsize::new(0));
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let handle = Handle {
            commands: sender,
            open_work: Arc::clone(&open_work),
        };
        let inbox = Self {
            commands,
            ticks,
            open_work,
        };
        (inbox, handle)
    }

    /// Waits for commands or the next tick, whichever comes first.
    pub async fn next(&mut self) -> Wake<C> {
        let mut batch = Vec::new();
        tokio::select! {
            received = self.commands.recv_many(&mut batch, MAX_BATCH_COMMANDS) => match received {
                0 => Wake::Closed,
                _ => Wake::Commands(batch),
            },
            _ = self.ticks.tick() => Wake::Tick,
        }
    }

    /// Publishes the amount of unfinished work to the handles.
    pub fn set_open_work(&self, open_work: usize) {
        self.open_work.store(open_work, Ordering::Relaxed);
    }
}

impl<C> Handle<C> {
    /// Queues a command. The queue needs no limit of its own: the callers, sessions and running
    /// tasks that send commands are limited in number and wait for replies.
    pub fn send(&self, command: C) {
        // The event loop outlives every other task; when it has ended, so does the process.
        let _ = self.commands.send(command);
    }

    /// Queues an event that needs no reply.
    pub fn send_event<E>(&self, event: E)
    where
        C: From<E>,
    {
        self.send(C::from(event));
    }

    /// The amount of unfinished work after the latest batch or tick: submissions of an entry, tasks
    /// of an agent.
    #[must_use]
    pub fn open_work(&self) -> usize {
        self.open_work.load(Ordering::Relaxed)
    }
}

impl<C> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            open_work: Arc::clone(&self.open_work),
        }
    }
}
