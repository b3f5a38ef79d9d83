//! Rate limit for log lines.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use dfs_conf::LogLevel;

use crate::EventKind;

/// Length of the fixed window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines per window of all request-scoped kinds together. At 20 µs a line they take 2% of a core.
const MAX_REQUEST_LINES: u32 = 1_000;
/// Lines per window of all warnings about requests together.
const MAX_REQUEST_WARNINGS: u32 = 200;
/// Lines per window of each other kind.
const MAX_LINES_PER_OTHER_KIND: u32 = 20;

/// Number of dropped lines by event number.
pub type DroppedLines = BTreeMap<u16, u64>;

/// Fixed-window rate limiter for log lines.
///
/// Request-scoped events share one limit, warnings among them another, and every other kind has its own, so
/// that a repeated error cannot displace the lines of requests, nor these the warnings.
#[derive(Debug, Default)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Start of the current window; `None` before the first line.
    window_start: Option<Instant>,
    request_lines: u32,
    request_warnings: u32,
    /// Lines of the current window by event number.
    other_lines: BTreeMap<u16, u32>,
    /// Lines dropped since they were last reported.
    dropped: DroppedLines,
}

/// Decision of the rate limiter on a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line may be written.
    pub is_admitted: bool,
    /// Lines dropped since the last report. Returned once, with the first line of a new window.
    pub dropped: DroppedLines,
}

impl RateLimiter {
    /// Counts a line and decides whether it may be written.
    pub fn admit(&self, kind: &EventKind, now: Instant) -> Admission {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = state.start_window_if_due(now);
        let is_admitted = state.count(kind);
        if !is_admitted {
            *state.dropped.entry(kind.number).or_default() += 1;
        }
        Admission {
            is_admitted,
            dropped,
        }
    }

    /// Counts a line that was admitted but dropped afterwards because the writer's queue was full.
    pub fn record_dropped(&self, event_number: u16) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.dropped.entry(event_number).or_default() += 1;
    }
}

impl State {
    /// Starts a new window if the current one has ended, and takes the dropped lines to report.
    fn start_window_if_due(&mut self, now: Instant) -> DroppedLines {
        let is_due = self.window_start.is_none_or(|start| now >= start + WINDOW);
        if !is_due {
            return DroppedLines::new();
        }
        self.window_start = Some(now);
        self.request_lines = 0;
        self.request_warnings = 0;
        self.other_lines.clear();
        std::mem::take(&mut self.dropped)
    }

    /// Returns whether the line is within the limit of its kind.
    fn count(&mut self, kind: &EventKind) -> bool {
        let (lines, limit) = if kind.is_request_scoped() && kind.level == LogLevel::Warn {
            (&mut self.request_warnings, MAX_REQUEST_WARNINGS)
        } else if kind.is_request_scoped() {
            (&mut self.request_lines, MAX_REQUEST_LINES)
        } else {
            let lines = self.other_lines.entry(kind.number).or_default();
            (lines, MAX_LINES_PER_OTHER_KIND)
        };
        *lines += 1;
        *lines <= limit
    }
}
