//! What an entry's tasks really got of the targets while others waited.

use std::collections::BTreeMap;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;

/// Shortest span over which a rate is measured; several run times of short tasks.
const MIN_SPAN_MS: Millis = Millis::new(500);
/// Ends that make a rate: fewer say little, and the span goes on.
const MIN_ENDS: u32 = 16;

/// Longest span: what came free before says nothing of now, and with too few ends nothing is known.
const MAX_SPAN_MS: Millis = Millis::new(1_500);

/// Load that came free for each microsecond through ends of an entry's tasks, by priority, over the latest
/// span in which tasks waited all the time.
///
/// Entries that are slower than others, or further from targets, get less of the room than their part of
/// the load, and less urgent tasks only what the others leave; the ends tell both.
#[derive(Debug, Clone, Default)]
pub struct ThroughputMeter {
    /// Absent while nothing waits.
    span: Option<Span>,
    /// Rates of the last whole span; absent before the first one since something waits.
    rates: Option<BTreeMap<Priority, f64>>,
}

#[derive(Debug, Clone)]
struct Span {
    since: Moment,
    /// Sums of the parts of targets that ended tasks took.
    loads: BTreeMap<Priority, f64>,
    ends: u32,
}

impl Span {
    const fn begin(now: Moment) -> Self {
        Self {
            since: now,
            loads: BTreeMap::new(),
            ends: 0,
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^52 µs")]
    fn rates(&self, now: Moment) -> BTreeMap<Priority, f64> {
        let span_us = now.micros_since(self.since) as f64;
        let rate = |(priority, load): (&Priority, &f64)| (*priority, load / span_us);
        self.loads.iter().map(rate).collect()
    }
}

impl ThroughputMeter {
    /// Notes whether tasks wait at the entry.
    pub fn observe_backlog(&mut self, now: Moment, has_backlog: bool) {
        if !has_backlog {
            *self = Self::default();
            return;
        }
        let span = self.span.get_or_insert_with(|| Span::begin(now));
        if now >= span.since + MIN_SPAN_MS && span.ends >= MIN_ENDS {
            self.rates = Some(span.rates(now));
            *span = Span::begin(now);
        } else if now >= span.since + MAX_SPAN_MS {
            self.rates = None;
            *span = Span::begin(now);
        }
    }

    /// Notes that a task ended which took this part of its target.
    pub fn record_end(&mut self, priority: Priority, part: f64) {
        if let Some(span) = &mut self.span {
            *span.loads.entry(priority).or_default() += part;
            span.ends += 1;
        }
    }

    /// The measured rate at which tasks of a priority get room, if tasks have waited for long enough: all
    /// that is not taken by more urgent ones.
    #[must_use]
    pub fn rate(&self, priority: Priority) -> Option<f64> {
        let rates = self.rates.as_ref()?;
        Some(rates.range(priority..).map(|(_, rate)| rate).sum())
    }
}
