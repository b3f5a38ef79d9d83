//! Faults of a stand-in on command.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// How a stand-in treats every request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Answers at once.
    #[default]
    Normal,
    /// Acts and answers after a delay, also if the client has given up by then.
    SlowMs(Millis),
    /// Takes no connections and breaks those that are open.
    Refuse,
    /// Takes requests and neither acts nor answers.
    Hang,
    /// Acts on writes only once the mode changes, also if the client has given up by then.
    HoldWrites,
}

/// Requests and replies still to be lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Next writes whose request is lost: no effect, and the connection breaks.
    pub requests: u32,
    /// Next writes whose reply is lost after their effect: the connection breaks.
    pub replies: u32,
}

/// Sets and reads the faults of one stand-in; clones act on the same one.
#[derive(Debug, Clone)]
pub struct Faults {
    mode: Arc<watch::Sender<Mode>>,
    /// Whether the listener is open; it follows the mode.
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
    /// Changes the mode, and waits until the listener has followed.
    pub async fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
        let mut listening = self.listening.subscribe();
        let followed = listening.wait_for(|open| *open == (self.mode() != Mode::Refuse));
        // The sender lives as long as this handle.
        let _ = followed.await;
    }

    /// The mode.
    #[must_use]
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Loses the next writes before they have an effect.
    pub fn lose_requests(&self, requests: u32) {
        self.losses().requests = requests;
    }

    /// Loses the replies to the next writes after they have had their effect.
    pub fn lose_replies(&self, replies: u32) {
        self.losses().replies = replies;
    }

    /// What is still to be lost.
    #[must_use]
    pub fn pending_losses(&self) -> Losses {
        *self.losses()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Mode> {
        self.mode.subscribe()
    }

    /// Waits until writes are no longer held.
    pub(crate) async fn released(&self) {
        // The sender lives as long as this handle.
        let _ = self.watch().wait_for(|m| *m != Mode::HoldWrites).await;
    }

    pub(crate) fn set_listening(&self, listening: bool) {
        self.listening.send_replace(listening);
    }

    /// Whether the request of this write is lost.
    pub(crate) fn takes_request(&self) -> bool {
        take_one(&mut self.losses().requests)
    }

    /// Whether the reply to this write is lost.
    pub(crate) fn takes_reply(&self) -> bool {
        take_one(&mut self.losses().replies)
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
