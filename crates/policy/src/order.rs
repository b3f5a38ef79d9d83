//! Order of queued tasks within a group.

use dfs_conf::Order;
use dfs_conf::PlacementRules;
use dfs_ids::Moment;

/// Position in a queue; the lowest goes first.
pub type Rank = u64;

const MICROS_PER_MILLI: u64 = 1_000;

/// Rank of a submission that arrived at `since` and has `left` unsettled tasks.
///
/// A submission with fewer tasks left goes first; waiting for `ageing_ms_per_task` makes up for one
/// task, so that the rank needs no renewal as time passes and wide jobs are not starved.
#[must_use]
pub fn rank(rules: &PlacementRules, since: Moment, left: u32) -> Rank {
    match rules.order {
        Order::FirstCome => since.as_micros(),
        Order::LeastLeft => {
            let step_us = rules
                .ageing_ms_per_task
                .get()
                .saturating_mul(MICROS_PER_MILLI);
            since
                .as_micros()
                .saturating_add(step_us.saturating_mul(left.into()))
        }
    }
}
