//! The write budget accumulates at most one period of writes.

use std::time::Duration;

use dfs_store::WriteBudget;
use googletest::prelude::*;

/// Long enough that no write accrues during a test.
const PERIOD: Duration = Duration::from_hours(1);
const WRITES: u32 = 5;

async fn is_exhausted(budget: &WriteBudget) -> bool {
    let wait = Duration::from_millis(50);
    tokio::time::timeout(wait, budget.acquire()).await.is_err()
}

#[tokio::test]
async fn a_full_period_of_writes_passes_at_once() {
    let budget = WriteBudget::new(WRITES, PERIOD);
    for _ in 0..WRITES {
        budget.acquire().await;
    }
    assert_that!(is_exhausted(&budget).await, eq(true));
    assert_that!(is_exhausted(&budget).await, eq(true));
}

#[tokio::test]
async fn writes_accrue_over_time() {
    let budget = WriteBudget::new(1, Duration::from_millis(1));
    for _ in 0..WRITES {
        budget.acquire().await;
    }
    assert_that!(is_exhausted(&WriteBudget::new(0, PERIOD)).await, eq(false));
}
