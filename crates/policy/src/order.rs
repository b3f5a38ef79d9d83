//! Order of queued work within a group.

use dfs_conf::Order;
use dfs_conf::PlacementRules;
use dfs_ids::Moment;

/// Sort key within a queue, in microseconds on the local clock; the lowest goes first.
pub type Rank = u64;

const MICROS_PER_MILLI: u64 = 1_000;

/// Rank of a submission that arrived at `submitted_at` and has `remaining` unfinished tasks.
///
/// With [`Order::LeastLeft`], submissions with fewer remaining tasks go first, but each
/// `ageing_ms_per_task` of waiting offsets one task. Jobs with many tasks are therefore not starved, and as all
/// submissions age alike, a rank stays valid as time passes.
#[must_use]
pub fn rank(rules: &PlacementRules, submitted_at: Moment, remaining: u32) -> Rank {
    match rules.order {
        Order::FirstCome => submitted_at.as_micros(),
        Order::LeastLeft => {
            let ageing_us = rules
                .ageing_ms_per_task
                .get()
                .saturating_mul(MICROS_PER_MILLI);
            submitted_at
                .as_micros()
                .saturating_add(ageing_us.saturating_mul(remaining.into()))
        }
    }
}
