//! Claims of request keys: concurrent claims, lost requests and replies, batches, the write budget
//! and outages.

mod common;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::SHORT_TIMEOUT_MS;
use common::TIMEOUT_MS;
use common::TestPlatform;
use common::unlimited_budget;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::SubmissionId;
use dfs_standin::Mode;
use dfs_store::ClaimOutcome;
use dfs_store::ClaimService;
use dfs_store::ClaimSettings;
use dfs_store::Claimer;
use dfs_store::StoreError;
use dfs_store::UnavailableReason;
use dfs_store::WriteBudget;
use googletest::prelude::*;
use tokio::task::JoinHandle;

const CONCURRENT_CLAIMS: usize = 40;
/// Takes four commits with the default batch limit of 256 claims.
const BURST_CLAIMS: usize = 1_000;
/// Period of a write budget, long enough that no write accrues during a test.
const BUDGET_PERIOD: Duration = Duration::from_hours(1);

fn claimer(platform: &TestPlatform, timeout_ms: Millis) -> Claimer {
    claimer_with(
        platform,
        timeout_ms,
        unlimited_budget(),
        ClaimSettings::default(),
    )
}

fn claimer_with(
    platform: &TestPlatform,
    timeout_ms: Millis,
    budget: Arc<WriteBudget>,
    settings: ClaimSettings,
) -> Claimer {
    Claimer::spawn(platform.client(timeout_ms), budget, settings)
}

fn group() -> GroupId {
    "aba".parse().unwrap()
}

fn submission(id: &str) -> SubmissionId {
    id.parse().unwrap()
}

async fn claim(claimer: &Claimer, key: &str, id: &str) -> ClaimOutcome {
    let key: RequestKey = key.parse().unwrap();
    claimer.claim(&group(), &key, submission(id)).await
}

fn taken_by(id: &str) -> ClaimOutcome {
    ClaimOutcome::Taken {
        holder: submission(id),
    }
}

fn is_unavailable(outcome: &ClaimOutcome) -> bool {
    matches!(outcome, ClaimOutcome::Unavailable { .. })
}

#[tokio::test]
async fn a_key_is_claimed_once() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    assert_that!(
        claim(&claimer, "k", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    assert_that!(claim(&claimer, "k", "s-2").await, eq(&taken_by("s-1")));
    assert_that!(
        claim(&claimer, "l", "s-3").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn a_key_belongs_to_its_group() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    let key: RequestKey = "k".parse().unwrap();
    for name in ["aba", "lagos"] {
        let group = name.parse().unwrap();
        let outcome = claimer.claim(&group, &key, submission(name)).await;
        assert_that!(outcome, eq(&ClaimOutcome::Claimed));
    }
}

#[tokio::test]
async fn one_of_many_concurrent_claims_wins() {
    let platform = TestPlatform::spawn().await;
    let tasks: Vec<_> = (0..CONCURRENT_CLAIMS)
        .map(|i| {
            let claimer = claimer(&platform, TIMEOUT_MS);
            tokio::spawn(async move { claim(&claimer, "k", &format!("s-{i}")).await })
        })
        .collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.unwrap());
    }
    let winners: Vec<usize> = (0..CONCURRENT_CLAIMS)
        .filter(|i| outcomes[*i] == ClaimOutcome::Claimed)
        .collect();
    assert_that!(winners, len(eq(1)));
    let expected = taken_by(&format!("s-{}", winners[0]));
    let losers = outcomes.iter().filter(|o| **o == expected);
    assert_that!(losers.count(), eq(CONCURRENT_CLAIMS - 1));
}

#[tokio::test]
async fn a_claim_whose_reply_is_lost_is_read_back() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    platform.table.faults().lose_replies(1);
    assert_that!(
        claim(&claimer, "k", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    assert_that!(platform.table.commits(), eq(1));
    platform.table.faults().lose_replies(1);
    assert_that!(claim(&claimer, "k", "s-2").await, eq(&taken_by("s-1")));
}

#[tokio::test]
async fn a_claim_whose_request_is_lost_is_retried() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    platform.table.faults().lose_requests(1);
    assert_that!(
        claim(&claimer, "k", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    assert_that!(platform.table.commits(), eq(1));
}

#[tokio::test]
async fn a_claim_whose_requests_are_all_lost_is_unavailable() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    platform.table.faults().lose_requests(u32::MAX);
    let outcome = claim(&claimer, "k", "s-1").await;
    assert_that!(is_unavailable(&outcome), eq(true));
    platform.table.faults().lose_requests(0);
    assert_that!(
        claim(&claimer, "k", "s-2").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn claims_are_unavailable_while_the_table_service_is_down() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    platform.table.faults().set_mode(Mode::Refuse).await;
    let outcome = claim(&claimer, "k", "s-1").await;
    let refused = matches_pattern!(ClaimOutcome::Unavailable {
        reason: matches_pattern!(UnavailableReason::Store {
            source: matches_pattern!(StoreError::Connect { .. }),
        }),
        ..
    });
    assert_that!(outcome, refused);
    platform.table.faults().set_mode(Mode::Normal).await;
    assert_that!(
        claim(&claimer, "k", "s-2").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn a_claim_written_after_its_timeout_still_holds_the_key() {
    let platform = TestPlatform::spawn().await;
    let short_timeout_claimer = claimer(&platform, SHORT_TIMEOUT_MS);
    platform.table.faults().set_mode(Mode::HoldWrites).await;
    let outcome = claim(&short_timeout_claimer, "k", "s-1").await;
    assert_that!(is_unavailable(&outcome), eq(true));
    platform.table.faults().set_mode(Mode::Normal).await;
    while platform.table.rows("claim/").is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let claimer = claimer(&platform, TIMEOUT_MS);
    assert_that!(claim(&claimer, "k", "s-2").await, eq(&taken_by("s-1")));
    assert_that!(platform.table.commits(), eq(1));
}

/// Starts claims that end up in one batch.
///
/// The single-threaded runtime of a test runs tasks in the order in which they became ready, so all
/// claims are in the queue before the claimer reads it.
fn spawn_claims_of_one_batch(
    platform: &TestPlatform,
    keys: &[&str],
) -> Vec<JoinHandle<ClaimOutcome>> {
    let claimer = claimer(platform, TIMEOUT_MS);
    keys.iter()
        .enumerate()
        .map(|(i, key)| {
            let claimer = claimer.clone();
            let key = (*key).to_owned();
            tokio::spawn(async move { claim(&claimer, &key, &format!("s-{i}")).await })
        })
        .collect()
}

#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    let key: RequestKey = "slot-1".parse().unwrap();
    assert_that!(
        claim(&claimer, "slot-1", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    let released = claimer.release(&group(), &key, submission("s-1")).await;
    assert_that!(released, ok(anything()));
    assert_that!(
        claim(&claimer, "slot-1", "s-2").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn only_the_holder_releases_a_key() {
    let platform = TestPlatform::spawn().await;
    let claimer = claimer(&platform, TIMEOUT_MS);
    let key: RequestKey = "slot-1".parse().unwrap();
    assert_that!(
        claim(&claimer, "slot-1", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    let released = claimer.release(&group(), &key, submission("s-2")).await;
    assert_that!(released, ok(anything()));
    assert_that!(claim(&claimer, "slot-1", "s-3").await, eq(&taken_by("s-1")));
}

async fn join_all(claims: Vec<JoinHandle<ClaimOutcome>>) -> Vec<ClaimOutcome> {
    let mut outcomes = Vec::new();
    for claim in claims {
        outcomes.push(claim.await.unwrap());
    }
    outcomes
}

#[tokio::test]
async fn concurrent_claims_share_a_commit() {
    let platform = TestPlatform::spawn().await;
    let outcomes = join_all(spawn_claims_of_one_batch(&platform, &["a", "b", "c", "d"])).await;
    assert_that!(outcomes, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(platform.table.commits(), eq(1));
}

/// Prints the elapsed time, which `--nocapture` shows.
#[tokio::test]
async fn a_burst_of_claims_takes_few_commits() {
    let platform = TestPlatform::spawn().await;
    let keys: Vec<String> = (0..BURST_CLAIMS).map(|n| format!("k{n}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let start = Instant::now();
    let outcomes = join_all(spawn_claims_of_one_batch(&platform, &keys)).await;
    println!(
        "{BURST_CLAIMS} claims: {:.1} ms",
        start.elapsed().as_secs_f64() * 1e3
    );
    assert_that!(outcomes, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(platform.table.commits(), eq(4));
}

#[tokio::test]
async fn a_taken_key_does_not_affect_other_claims_of_its_batch() {
    let platform = TestPlatform::spawn().await;
    let first = claimer(&platform, TIMEOUT_MS);
    claim(&first, "b", "earlier").await;
    let outcomes = join_all(spawn_claims_of_one_batch(&platform, &["a", "b", "c"])).await;
    let expected = [
        ClaimOutcome::Claimed,
        taken_by("earlier"),
        ClaimOutcome::Claimed,
    ];
    assert_that!(outcomes, eq(&expected));
    assert_that!(platform.table.commits(), eq(2));
}

#[tokio::test]
async fn a_batch_whose_reply_is_lost_is_read_back() {
    let platform = TestPlatform::spawn().await;
    let claims = spawn_claims_of_one_batch(&platform, &["a", "b", "c"]);
    platform.table.faults().lose_replies(1);
    assert_that!(join_all(claims).await, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(platform.table.commits(), eq(1));
}

#[tokio::test]
async fn a_key_claimed_twice_at_once_has_one_holder() {
    let platform = TestPlatform::spawn().await;
    let outcomes = join_all(spawn_claims_of_one_batch(&platform, &["a", "a"])).await;
    let claimed = outcomes
        .iter()
        .filter(|o| **o == ClaimOutcome::Claimed)
        .count();
    let taken = outcomes
        .iter()
        .filter(|o| matches!(o, ClaimOutcome::Taken { .. }))
        .count();
    assert_that!((claimed, taken), eq((1, 1)));
}

#[tokio::test]
async fn a_claim_over_the_write_budget_is_unavailable_and_not_written() {
    let platform = TestPlatform::spawn().await;
    let budget = Arc::new(WriteBudget::new(1, BUDGET_PERIOD));
    let first_claimer = claimer_with(
        &platform,
        TIMEOUT_MS,
        Arc::clone(&budget),
        ClaimSettings::default(),
    );
    assert_that!(
        claim(&first_claimer, "a", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    let settings = ClaimSettings {
        max_wait_ms: Millis::new(50),
        ..ClaimSettings::default()
    };
    let short_wait_claimer = claimer_with(&platform, TIMEOUT_MS, budget, settings);
    let outcome = claim(&short_wait_claimer, "b", "s-2").await;
    let timed_out = matches_pattern!(ClaimOutcome::Unavailable {
        reason: matches_pattern!(UnavailableReason::Timeout { .. }),
        ..
    });
    assert_that!(outcome, timed_out);
    assert_that!(platform.table.rows("claim/"), len(eq(1)));
}

#[tokio::test]
async fn claims_over_the_queue_limit_are_unavailable() {
    let platform = TestPlatform::spawn().await;
    let budget = Arc::new(WriteBudget::new(1, BUDGET_PERIOD));
    budget.acquire().await;
    let settings = ClaimSettings {
        max_waiting: 1,
        max_wait_ms: Millis::new(500),
        ..ClaimSettings::default()
    };
    let claimer = claimer_with(&platform, TIMEOUT_MS, budget, settings);
    let claims: Vec<_> = (0..CONCURRENT_CLAIMS)
        .map(|i| {
            let claimer = claimer.clone();
            tokio::spawn(async move { claim(&claimer, &format!("k{i}"), "s").await })
        })
        .collect();
    let outcomes = join_all(claims).await;
    let is_queue_full = |o: &&ClaimOutcome| {
        matches!(
            o,
            ClaimOutcome::Unavailable {
                reason: UnavailableReason::QueueFull { .. },
                ..
            }
        )
    };
    // Two claims do not find the queue full: the task that waits for the budget has taken one, and
    // the queue holds the other.
    assert_that!(
        outcomes.iter().filter(is_queue_full).count(),
        ge(CONCURRENT_CLAIMS - 2)
    );
    assert_that!(outcomes.iter().all(is_unavailable), eq(true));
}
