//! Fault injection for stand-ins.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// How a stand-in handles requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Replies without delay.
    #[default]
    Normal,
    /// Executes each request and replies after a delay, even if the client has disconnected by then.
    SlowMs(Millis),
    /// Refuses new connections and closes open ones.
    Refuse,
    /// Accepts requests, but neither executes them nor replies.
    Hang,
    /// Delays writes until the mode changes, even if the client has disconnected by then.
    HoldWrites,
}

/// Number of requests and replies still to be lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Upcoming writes whose request is lost: the write has no effect and its connection closes.
    pub requests: u32,
    /// Upcoming writes whose reply is lost: the write takes effect, then its connection closes.
    pub replies: u32,
}

/// Handle to the injected faults of one stand-in; clones share the state.
#[derive(Debug, Clone)]
pub struct Faults {
    mode: Arc<watch::Sender<Mode>>,
    /// Whether the listener is open; set by the listener after it has acted on a change of mode.
    listening: Arc<watch::Sender<bool>>,
    losses: Arc<Mutex<Losses>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            mode: Arc::new(watch::Sender::new(Mode::Normal)),
            listening: Arc::new(watch::Sender::new(true)),
            losses: Arc::default(),
        }
    }
}

impl Faults {
    /// Changes the mode, and waits until the listener has opened or closed accordingly.
    pub async fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
        let mut listening = self.listening.subscribe();
        let settled = listening.wait_for(|open| *open == (self.mode() != Mode::Refuse));
        // Cannot fail: this handle keeps the sender alive.
        let _ = settled.await;
    }

    /// Mode set last, even if the listener has not yet acted on it.
    #[must_use]
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Drops the next `requests` writes before they take effect, and closes their connections.
    pub fn lose_requests(&self, requests: u32) {
        self.lock_losses().requests = requests;
    }

    /// Executes the next `replies` writes, but closes their connections instead of replying.
    pub fn lose_replies(&self, replies: u32) {
        self.lock_losses().replies = replies;
    }

    /// Requests and replies that are still to be lost.
    #[must_use]
    pub fn pending_losses(&self) -> Losses {
        *self.lock_losses()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Mode> {
        self.mode.subscribe()
    }

    /// Waits until the mode is no longer [`Mode::HoldWrites`].
    pub(crate) async fn wait_until_writes_released(&self) {
        // Cannot fail: this handle keeps the sender alive.
        let _ = self.subscribe().wait_for(|m| *m != Mode::HoldWrites).await;
    }

    pub(crate) fn set_listening(&self, listening: bool) {
        self.listening.send_replace(listening);
    }

    /// Whether to lose the request of the current write; uses up one pending loss.
    pub(crate) fn consume_request_loss(&self) -> bool {
        consume_one(&mut self.lock_losses().requests)
    }

    /// Whether to lose the reply to the current write; uses up one pending loss.
    pub(crate) fn consume_reply_loss(&self) -> bool {
        consume_one(&mut self.lock_losses().replies)
    }

    fn lock_losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn consume_one(remaining: &mut u32) -> bool {
    let consumed = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    consumed
}
