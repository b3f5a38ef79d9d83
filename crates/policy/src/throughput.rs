//! What an entry's tasks really got of the targets while others waited.

use dfs_ids::Millis;
use dfs_ids::Moment;

/// Shortest span over which a rate is measured; several run times of short tasks.
const MIN_SPAN_MS: Millis = Millis::new(500);
/// Ends that make a rate: fewer say little, and the span goes on.
const MIN_ENDS: u32 = 16;

/// Longest span: what came free before says nothing of now, and with too few ends nothing is known.
const MAX_SPAN_MS: Millis = Millis::new(1_500);

/// Load that came free for each microsecond through ends of an entry's tasks, over the latest span in
/// which tasks waited all the time.
///
/// Entries that are slower than others, or further from targets, get less of the room than their part of
/// the load; only the ends tell.
#[derive(Debug, Clone, Default)]
pub struct Throughput {
    /// Absent while nothing waits.
    span: Option<Span>,
    /// Rate of the last whole span; absent before the first one since something waits.
    rate: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Span {
    since: Moment,
    /// Sum of the parts of targets that ended tasks took.
    load: f64,
    ends: u32,
}

impl Span {
    const fn begin(now: Moment) -> Self {
        Self {
            since: now,
            load: 0.0,
            ends: 0,
        }
    }
}

impl Throughput {
    /// Notes whether tasks wait at the entry.
    #[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^52 µs")]
    pub fn observe(&mut self, now: Moment, is_waiting: bool) {
        if !is_waiting {
            *self = Self::default();
            return;
        }
        let span = self.span.get_or_insert(Span::begin(now));
        if now >= span.since + MIN_SPAN_MS && span.ends >= MIN_ENDS {
            self.rate = Some(span.load / now.micros_since(span.since) as f64);
            *span = Span::begin(now);
        } else if now >= span.since + MAX_SPAN_MS {
            *self = Self {
                span: Some(Span::begin(now)),
                rate: None,
            };
        }
    }

    /// Notes that a task ended which took this part of its target.
    pub fn ended(&mut self, part: f64) {
        if let Some(span) = &mut self.span {
            span.load += part;
            span.ends += 1;
        }
    }

    /// The measured rate, if tasks have waited for long enough.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }
}
