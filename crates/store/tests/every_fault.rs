//! Two callers apply changes or claim a key concurrently, with every combination of faults in their
//! first calls and under many interleavings. Whatever an outcome states must be true of the stored
//! rows.

mod common;

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use common::change;
use common::scripted::ALL_FAULTS;
use common::scripted::Fault;
use common::scripted::FaultScope;
use common::scripted::ScriptedTable;
use common::scripted::sequences;
use common::unlimited_budget;
use dfs_ids::ConfigVersion;
use dfs_ids::SubmissionId;
use dfs_store::ApplyError;
use dfs_store::ClaimOutcome;
use dfs_store::ClaimRow;
use dfs_store::ClaimService;
use dfs_store::ClaimSettings;
use dfs_store::Claimer;
use dfs_store::ConfigHead;
use dfs_store::ConfigStore;
use dfs_store::ObjectKey;
use dfs_store::ObjectStore;
use dfs_store::ResultFuture;
use dfs_store::StoreError;
use dfs_store::TableService;
use googletest::prelude::*;

/// Number of calls into which a fault may be injected; further calls have none.
const FAULTY_CALLS: usize = 4;
/// Number of polls whose order is chosen; then the two callers are polled in turn.
const ORDERED_POLLS: usize = 5;

type ApplyResult = std::result::Result<ConfigVersion, ApplyError>;

/// Panics when used: every configuration in these tests fits in its row.
struct UnusedObjectStore;

impl ObjectStore for UnusedObjectStore {
    fn put(&self, _: ObjectKey, _: Vec<u8>) -> ResultFuture<'_, (), StoreError> {
        unreachable!("the body fits its row")
    }

    fn get(&self, _: ObjectKey) -> ResultFuture<'_, Option<Vec<u8>>, StoreError> {
        unreachable!("the body fits its row")
    }
}

fn config_store(table: &Arc<ScriptedTable>) -> ConfigStore {
    let table: Arc<dyn TableService> = Arc::clone(table) as _;
    ConfigStore::new(table, Arc::new(UnusedObjectStore), unlimited_budget())
}

/// Polls two futures in the given order, then in turn, until both are ready.
fn poll_both<T>(
    mut futures: [Pin<Box<dyn Future<Output = T> + '_>>; 2],
    order: &[usize],
) -> [T; 2] {
    let mut context = Context::from_waker(Waker::noop());
    let mut outcomes = [None, None];
    let poll_order = order.iter().copied().chain([0, 1].into_iter().cycle());
    for index in poll_order {
        if outcomes[index].is_none()
            && let Poll::Ready(outcome) = futures[index].as_mut().poll(&mut context)
        {
            outcomes[index] = Some(outcome);
        }
        if outcomes.iter().all(Option::is_some) {
            break;
        }
    }
    outcomes.map(Option::unwrap)
}

fn stored_head(table: &ScriptedTable) -> Option<ConfigHead> {
    table.row("config/head").map(|row| row.parse().unwrap())
}

/// Whether the outcome reported for the change `own` is true, given the head after all late writes.
fn is_outcome_true(outcome: &ApplyResult, own: &str, head: Option<&ConfigHead>) -> bool {
    let is_own = head.is_some_and(|h| h.change.as_str() == own);
    match outcome {
        Ok(version) => is_own && head.is_some_and(|h| h.version == *version),
        Err(ApplyError::Conflict {
            winner,
            winner_change,
            ..
        }) => !is_own && head.is_some_and(|h| h.version == *winner && h.change == *winner_change),
        Err(ApplyError::NotApplied { .. }) => !is_own,
        Err(ApplyError::Unknown { .. }) => true,
        Err(
            ApplyError::WrongVersion { .. }
            | ApplyError::BaseNotFound { .. }
            | ApplyError::ChangeReused { .. },
        ) => false,
    }
}

const fn outcome_kind(outcome: &ApplyResult) -> &'static str {
    match outcome {
        Ok(_) => "accepted",
        Err(ApplyError::Conflict { .. }) => "conflict",
        Err(ApplyError::NotApplied { .. }) => "not applied",
        Err(ApplyError::Unknown { .. }) => "unknown",
        Err(
            ApplyError::WrongVersion { .. }
            | ApplyError::BaseNotFound { .. }
            | ApplyError::ChangeReused { .. },
        ) => "wrong",
    }
}

/// Every combination of faults in the first calls, and in the first commits.
fn scripts() -> impl Iterator<Item = (FaultScope, Vec<Fault>)> {
    [FaultScope::ReadsAndCommits, FaultScope::CommitsOnly]
        .into_iter()
        .flat_map(|scope| {
            let faults = sequences(&ALL_FAULTS, FAULTY_CALLS);
            faults.into_iter().map(move |faults| (scope, faults))
        })
}

/// Two operators apply conflicting changes concurrently; then each repeats its change without
/// faults.
fn race_changes(scope: FaultScope, faults: &[Fault], order: &[usize]) -> [ApplyResult; 2] {
    let table = Arc::new(ScriptedTable::new(
        scope,
        faults.iter().map(|fault| (*fault, 1)),
    ));
    let store = config_store(&table);
    let changes = [change(0, "a"), change(0, "b")];
    let outcomes = poll_both(
        [
            Box::pin(store.apply(&changes[0])),
            Box::pin(store.apply(&changes[1])),
        ],
        order,
    );
    table.finish_script();
    let final_head = stored_head(&table);
    let change_ids = ["a", "b"];
    for (outcome, own) in outcomes.iter().zip(change_ids) {
        assert!(
            is_outcome_true(outcome, own, final_head.as_ref()),
            "{faults:?} {order:?}: {own} got {outcome:?}, but the head is {final_head:?}"
        );
    }
    let repeated = poll_both(
        [
            Box::pin(store.apply(&changes[0])),
            Box::pin(store.apply(&changes[1])),
        ],
        &[],
    );
    let repeated_head = stored_head(&table);
    assert!(
        final_head.is_none() || final_head == repeated_head,
        "{faults:?} {order:?}"
    );
    for (outcome, own) in repeated.iter().zip(change_ids) {
        let is_winner = repeated_head
            .as_ref()
            .is_some_and(|h| h.change.as_str() == own);
        assert_eq!(outcome.is_ok(), is_winner, "{faults:?} {order:?}");
        assert!(
            is_outcome_true(outcome, own, repeated_head.as_ref()),
            "{faults:?} {order:?}"
        );
    }
    outcomes
}

#[test]
fn changes_report_true_outcomes_under_every_fault() {
    let mut counts = BTreeMap::new();
    for (scope, faults) in scripts() {
        for order in sequences(&[0, 1], ORDERED_POLLS) {
            let outcomes = race_changes(scope, &faults, &order);
            for outcome in &outcomes {
                *counts.entry(outcome_kind(outcome)).or_insert(0) += 1;
            }
            if faults.iter().all(|fault| *fault == Fault::None) {
                let wins = outcomes.iter().filter(|o| o.is_ok()).count();
                assert_eq!(wins, 1, "{order:?}");
            }
        }
    }
    println!("{counts:?}");
    let kinds: Vec<&str> = counts.into_keys().collect();
    let expected = ["accepted", "conflict", "not applied", "unknown"];
    assert_that!(kinds, eq(&expected));
}

fn submission(i: usize) -> SubmissionId {
    format!("s-{i}").parse().unwrap()
}

/// Whether the outcome reported for the claim of `own` is true, given the holder after all late
/// writes.
fn is_claim_outcome_true(
    outcome: &ClaimOutcome,
    own: &SubmissionId,
    holder: Option<&SubmissionId>,
) -> bool {
    match outcome {
        ClaimOutcome::Claimed => holder == Some(own),
        ClaimOutcome::Taken { holder: reported } => reported != own && holder == Some(reported),
        ClaimOutcome::Unavailable { .. } => true,
    }
}

/// Two entries claim one key concurrently, each with its own claimer.
async fn race_claims(scope: FaultScope, faults: &[Fault], yields: &[u32]) -> Vec<ClaimOutcome> {
    let steps = faults.iter().copied().zip(yields.iter().copied());
    let table = Arc::new(ScriptedTable::new(scope, steps));
    let group = "aba".parse().unwrap();
    let key = "k".parse().unwrap();
    let claimers = [0, 1].map(|_| {
        Claimer::spawn(
            Arc::clone(&table) as Arc<dyn TableService>,
            unlimited_budget(),
            ClaimSettings::default(),
        )
    });
    let (first, second) = tokio::join!(
        claimers[0].claim(&group, &key, submission(0)),
        claimers[1].claim(&group, &key, submission(1)),
    );
    table.finish_script();
    let row = table.row("claim/aba/k");
    let holder = row.map(|row| row.parse::<ClaimRow>().unwrap().holder);
    let outcomes = vec![first, second];
    for (i, outcome) in outcomes.iter().enumerate() {
        assert!(
            is_claim_outcome_true(outcome, &submission(i), holder.as_ref()),
            "{faults:?} {yields:?}: {i} got {outcome:?}, but the holder is {holder:?}"
        );
    }
    outcomes
}

#[tokio::test]
async fn claims_report_true_outcomes_under_every_fault() {
    let mut counts = [0; 3];
    for (scope, faults) in scripts() {
        for yields in sequences(&[0, 2], FAULTY_CALLS) {
            for outcome in race_claims(scope, &faults, &yields).await {
                match outcome {
                    ClaimOutcome::Claimed => counts[0] += 1,
                    ClaimOutcome::Taken { .. } => counts[1] += 1,
                    ClaimOutcome::Unavailable { .. } => counts[2] += 1,
                }
            }
        }
    }
    println!("claimed, taken, unavailable: {counts:?}");
    assert_that!(counts, each(gt(0)));
}
