//! Bounds on the volume of the log.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::EventKind;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines of a window that belong to single requests, all kinds together. At 20 µs a line they take
/// 2% of a core.
const REQUEST_LINES: u32 = 1_000;
/// Most lines of a window of any other kind.
const OTHER_LINES: u32 = 20;

/// Lines that were left out, by number of their kind.
pub type LeftOut = BTreeMap<u16, u64>;

/// Counts the lines of the current window.
#[derive(Debug, Default)]
pub struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    began: Option<Instant>,
    of_requests: u32,
    of_others: BTreeMap<u16, u32>,
    left_out: LeftOut,
}

/// Whether a line is written, and what was left out before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the line is written.
    pub is_written: bool,
    /// Lines of the window before that were left out; told once.
    pub left_out: LeftOut,
}

impl Limiter {
    /// Counts a line at a moment.
    pub fn admit(&self, kind: &EventKind, now: Instant) -> Verdict {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = state.renew(now);
        let is_written = state.count(kind);
        if !is_written {
            *state.left_out.entry(kind.number).or_default() += 1;
        }
        Verdict {
            is_written,
            left_out,
        }
    }

    /// Notes that a line was lost after it was admitted.
    pub fn lost(&self, number: u16) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.left_out.entry(number).or_default() += 1;
    }
}

impl State {
    /// Begins a new window if the last one is over.
    fn renew(&mut self, now: Instant) -> LeftOut {
        let is_over = self.began.is_none_or(|began| now >= began + WINDOW);
        if !is_over {
            return LeftOut::new();
        }
        self.began = Some(now);
        self.of_requests = 0;
        self.of_others.clear();
        std::mem::take(&mut self.left_out)
    }

    fn count(&mut self, kind: &EventKind) -> bool {
        let (lines, most) = if kind.is_of_request() {
            (&mut self.of_requests, REQUEST_LINES)
        } else {
            let lines = self.of_others.entry(kind.number).or_default();
            (lines, OTHER_LINES)
        };
        *lines += 1;
        *lines <= most
    }
}
