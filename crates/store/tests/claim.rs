//! Claims of request keys: races, lost requests and replies, batches, budget, outages.

mod common;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::Bench;
use common::SHORT_TIMEOUT_MS;
use common::TIMEOUT_MS;
use common::ample;
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

const CLAIMS: usize = 40;
/// Four commits of at most 256 claims.
const BURST: usize = 1_000;
/// A budget that allows one write in the time of a test.
const AN_HOUR: Duration = Duration::from_hours(1);

fn claimer(bench: &Bench, timeout_ms: Millis) -> Claimer {
    claimer_with(bench, timeout_ms, ample(), ClaimSettings::default())
}

fn claimer_with(
    bench: &Bench,
    timeout_ms: Millis,
    budget: Arc<WriteBudget>,
    settings: ClaimSettings,
) -> Claimer {
    Claimer::spawn(bench.client(timeout_ms), budget, settings)
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
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
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
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    let key: RequestKey = "k".parse().unwrap();
    for name in ["aba", "lagos"] {
        let group = name.parse().unwrap();
        let outcome = claimer.claim(&group, &key, submission(name)).await;
        assert_that!(outcome, eq(&ClaimOutcome::Claimed));
    }
}

#[tokio::test]
async fn of_racing_entries_one_gets_the_key() {
    let bench = Bench::spawn().await;
    let racers: Vec<_> = (0..CLAIMS)
        .map(|i| {
            let claimer = claimer(&bench, TIMEOUT_MS);
            tokio::spawn(async move { claim(&claimer, "k", &format!("s-{i}")).await })
        })
        .collect();
    let mut outcomes = Vec::new();
    for racer in racers {
        outcomes.push(racer.await.unwrap());
    }
    let winners: Vec<usize> = (0..CLAIMS)
        .filter(|i| outcomes[*i] == ClaimOutcome::Claimed)
        .collect();
    assert_that!(winners, len(eq(1)));
    let lost = taken_by(&format!("s-{}", winners[0]));
    let losers = outcomes.iter().filter(|o| **o == lost);
    assert_that!(losers.count(), eq(CLAIMS - 1));
}

#[tokio::test]
async fn a_claim_whose_reply_is_lost_is_read_back() {
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    bench.table.faults().lose_replies(1);
    assert_that!(
        claim(&claimer, "k", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    assert_that!(bench.table.commits(), eq(1));
    bench.table.faults().lose_replies(1);
    assert_that!(claim(&claimer, "k", "s-2").await, eq(&taken_by("s-1")));
}

#[tokio::test]
async fn a_claim_whose_request_is_lost_is_sent_again() {
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    bench.table.faults().lose_requests(1);
    assert_that!(
        claim(&claimer, "k", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    assert_that!(bench.table.commits(), eq(1));
}

#[tokio::test]
async fn a_claim_that_is_lost_each_time_is_unavailable() {
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    bench.table.faults().lose_requests(u32::MAX);
    let outcome = claim(&claimer, "k", "s-1").await;
    assert_that!(is_unavailable(&outcome), eq(true));
    bench.table.faults().lose_requests(0);
    assert_that!(
        claim(&claimer, "k", "s-2").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn a_store_that_is_down_makes_claims_unavailable() {
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::Refuse).await;
    let outcome = claim(&claimer, "k", "s-1").await;
    let refused = matches_pattern!(ClaimOutcome::Unavailable {
        reason: matches_pattern!(UnavailableReason::Store {
            source: matches_pattern!(StoreError::Connect { .. }),
        }),
        ..
    });
    assert_that!(outcome, refused);
    bench.table.faults().set_mode(Mode::Normal).await;
    assert_that!(
        claim(&claimer, "k", "s-2").await,
        eq(&ClaimOutcome::Claimed)
    );
}

#[tokio::test]
async fn a_late_claim_holds_the_key_though_its_caller_did_not_run() {
    let bench = Bench::spawn().await;
    let hasty = claimer(&bench, SHORT_TIMEOUT_MS);
    bench.table.faults().set_mode(Mode::HoldWrites).await;
    let outcome = claim(&hasty, "k", "s-1").await;
    assert_that!(is_unavailable(&outcome), eq(true));
    bench.table.faults().set_mode(Mode::Normal).await;
    while bench.table.rows("claim/").is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let claimer = claimer(&bench, TIMEOUT_MS);
    assert_that!(claim(&claimer, "k", "s-2").await, eq(&taken_by("s-1")));
    assert_that!(bench.table.commits(), eq(1));
}

/// Starts claims that wait together.
///
/// The runtime of a test runs tasks in the order in which they became ready, so that all claims
/// are in the queue before the claimer looks at it.
fn claims_of_one_batch(bench: &Bench, keys: &[&str]) -> Vec<JoinHandle<ClaimOutcome>> {
    let claimer = claimer(bench, TIMEOUT_MS);
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
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
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
    let bench = Bench::spawn().await;
    let claimer = claimer(&bench, TIMEOUT_MS);
    let key: RequestKey = "slot-1".parse().unwrap();
    assert_that!(
        claim(&claimer, "slot-1", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    let released = claimer.release(&group(), &key, submission("s-2")).await;
    assert_that!(released, ok(anything()));
    assert_that!(claim(&claimer, "slot-1", "s-3").await, eq(&taken_by("s-1")));
}

async fn joined(claims: Vec<JoinHandle<ClaimOutcome>>) -> Vec<ClaimOutcome> {
    let mut outcomes = Vec::new();
    for claim in claims {
        outcomes.push(claim.await.unwrap());
    }
    outcomes
}

#[tokio::test]
async fn claims_that_wait_together_share_a_commit() {
    let bench = Bench::spawn().await;
    let outcomes = joined(claims_of_one_batch(&bench, &["a", "b", "c", "d"])).await;
    assert_that!(outcomes, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(bench.table.commits(), eq(1));
}

/// Prints the time it took with `--nocapture`.
#[tokio::test]
async fn a_burst_of_claims_takes_few_commits() {
    let bench = Bench::spawn().await;
    let keys: Vec<String> = (0..BURST).map(|n| format!("k{n}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let start = Instant::now();
    let outcomes = joined(claims_of_one_batch(&bench, &keys)).await;
    println!(
        "{BURST} claims: {:.1} ms",
        start.elapsed().as_secs_f64() * 1e3
    );
    assert_that!(outcomes, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(bench.table.commits(), eq(4));
}

#[tokio::test]
async fn a_taken_key_in_a_batch_harms_no_other() {
    let bench = Bench::spawn().await;
    let first = claimer(&bench, TIMEOUT_MS);
    claim(&first, "b", "earlier").await;
    let outcomes = joined(claims_of_one_batch(&bench, &["a", "b", "c"])).await;
    let expected = [
        ClaimOutcome::Claimed,
        taken_by("earlier"),
        ClaimOutcome::Claimed,
    ];
    assert_that!(outcomes, eq(&expected));
    assert_that!(bench.table.commits(), eq(2));
}

#[tokio::test]
async fn a_batch_whose_reply_is_lost_is_read_back() {
    let bench = Bench::spawn().await;
    let claims = claims_of_one_batch(&bench, &["a", "b", "c"]);
    bench.table.faults().lose_replies(1);
    assert_that!(joined(claims).await, each(eq(&ClaimOutcome::Claimed)));
    assert_that!(bench.table.commits(), eq(1));
}

#[tokio::test]
async fn a_key_that_stands_twice_in_a_batch_is_claimed_once() {
    let bench = Bench::spawn().await;
    let outcomes = joined(claims_of_one_batch(&bench, &["a", "a"])).await;
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
async fn a_claim_beyond_the_budget_is_unavailable_and_not_written() {
    let bench = Bench::spawn().await;
    let budget = Arc::new(WriteBudget::new(1, AN_HOUR));
    let patient = claimer_with(
        &bench,
        TIMEOUT_MS,
        Arc::clone(&budget),
        ClaimSettings::default(),
    );
    assert_that!(
        claim(&patient, "a", "s-1").await,
        eq(&ClaimOutcome::Claimed)
    );
    let settings = ClaimSettings {
        max_wait_ms: Millis::new(50),
        ..ClaimSettings::default()
    };
    let hasty = claimer_with(&bench, TIMEOUT_MS, budget, settings);
    let outcome = claim(&hasty, "b", "s-2").await;
    let late = matches_pattern!(ClaimOutcome::Unavailable {
        reason: matches_pattern!(UnavailableReason::Timeout { .. }),
        ..
    });
    assert_that!(outcome, late);
    assert_that!(bench.table.rows("claim/"), len(eq(1)));
}

#[tokio::test]
async fn claims_beyond_the_queue_are_unavailable_at_once() {
    let bench = Bench::spawn().await;
    let budget = Arc::new(WriteBudget::new(1, AN_HOUR));
    budget.acquire().await;
    let settings = ClaimSettings {
        max_waiting: 1,
        max_wait_ms: Millis::new(500),
        ..ClaimSettings::default()
    };
    let claimer = claimer_with(&bench, TIMEOUT_MS, budget, settings);
    let claims: Vec<_> = (0..CLAIMS)
        .map(|i| {
            let claimer = claimer.clone();
            tokio::spawn(async move { claim(&claimer, &format!("k{i}"), "s").await })
        })
        .collect();
    let outcomes = joined(claims).await;
    let full = |o: &&ClaimOutcome| {
        matches!(
            o,
            ClaimOutcome::Unavailable {
                reason: UnavailableReason::QueueFull { .. },
                ..
            }
        )
    };
    // One claim is held by the task that waits for the budget and one by the queue.
    assert_that!(outcomes.iter().filter(full).count(), ge(CLAIMS - 2));
    assert_that!(outcomes.iter().all(is_unavailable), eq(true));
}
