//! Measured rate at which the tasks of an entry release capacity on the targets while others are queued.

use std::collections::BTreeMap;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;

/// Shortest window over which rates are measured: several run times of short tasks.
const MIN_WINDOW_MS: Millis = Millis::new(500);
/// Fewest ended tasks that give a meaningful rate; until then the window stays open.
const MIN_ENDED_TASKS: u32 = 16;

/// Longest window. Capacity released earlier is no measure of the current rate; if too few tasks have
/// ended by then, the rates are unknown.
const MAX_WINDOW_MS: Millis = Millis::new(1_500);

/// Rates at which ended tasks of an entry released load, by priority, over the latest window in which tasks
/// were queued throughout. Loads are fractions of a target, and rates are loads per microsecond.
///
/// An entry that is slower than others or further from the targets gets less of the released capacity than
/// its fraction of the load suggests, and less urgent tasks get only what more urgent ones leave. The
/// measured rates reflect both.
#[derive(Debug, Clone, Default)]
pub struct ThroughputMeter {
    /// Absent while no task is queued.
    window: Option<Window>,
    /// Rates of the last complete window; absent until one completes after tasks start to queue.
    rates: Option<BTreeMap<Priority, f64>>,
}

#[derive(Debug, Clone)]
struct Window {
    started_at: Moment,
    /// Load released by ended tasks.
    released_load: BTreeMap<Priority, f64>,
    ended_tasks: u32,
}

impl Window {
    const fn start(now: Moment) -> Self {
        Self {
            started_at: now,
            released_load: BTreeMap::new(),
            ended_tasks: 0,
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "windows stay far below 2^52 µs")]
    fn rates(&self, now: Moment) -> BTreeMap<Priority, f64> {
        let window_us = now.micros_since(self.started_at) as f64;
        let rate = |(priority, load): (&Priority, &f64)| (*priority, load / window_us);
        self.released_load.iter().map(rate).collect()
    }
}

impl ThroughputMeter {
    /// Records whether tasks are queued at the entry, and completes the window when it is long enough.
    /// Called after each batch of events; an empty queue discards all rates.
    pub fn observe_backlog(&mut self, now: Moment, has_backlog: bool) {
        if !has_backlog {
            *self = Self::default();
            return;
        }
        let window = self.window.get_or_insert_with(|| Window::start(now));
        if now >= window.started_at + MIN_WINDOW_MS && window.ended_tasks >= MIN_ENDED_TASKS {
            self.rates = Some(window.rates(now));
            *window = Window::start(now);
        } else if now >= window.started_at + MAX_WINDOW_MS {
            self.rates = None;
            *window = Window::start(now);
        }
    }

    /// Records the end of a task that used the fraction `load` of its target.
    pub fn record_end(&mut self, priority: Priority, load: f64) {
        if let Some(window) = &mut self.window {
            *window.released_load.entry(priority).or_default() += load;
            window.ended_tasks += 1;
        }
    }

    /// Measured rate at which capacity is released for tasks of a priority, which is all that more urgent
    /// tasks do not take; unknown until tasks have been queued for a whole window.
    #[must_use]
    pub fn rate(&self, priority: Priority) -> Option<f64> {
        let rates = self.rates.as_ref()?;
        Some(rates.range(priority..).map(|(_, rate)| rate).sum())
    }
}
