//! Every fault at every call, in every order of two callers, for changes and for claims.

mod common;

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use common::ample;
use common::change;
use common::scripted::FATES;
use common::scripted::Fate;
use common::scripted::Scope;
use common::scripted::Scripted;
use common::scripted::sequences;
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

/// Calls whose fate is chosen; further ones work.
const FAULTY_CALLS: usize = 4;
/// Choices of who goes next, before the two take turns.
const CHOICES: usize = 5;

type Applied = std::result::Result<ConfigVersion, ApplyError>;

/// No configuration of these tests is large enough for it.
struct NoObjects;

impl ObjectStore for NoObjects {
    fn put(&self, _: ObjectKey, _: Vec<u8>) -> ResultFuture<'_, (), StoreError> {
        unreachable!("the body fits its row")
    }

    fn get(&self, _: ObjectKey) -> ResultFuture<'_, Option<Vec<u8>>, StoreError> {
        unreachable!("the body fits its row")
    }
}

fn config_store(table: &Arc<Scripted>) -> ConfigStore {
    let table: Arc<dyn TableService> = Arc::clone(table) as _;
    ConfigStore::new(table, Arc::new(NoObjects), ample())
}

/// Polls two futures in the given order, then in turns.
fn run_both<T>(mut futures: [Pin<Box<dyn Future<Output = T> + '_>>; 2], order: &[usize]) -> [T; 2] {
    let mut context = Context::from_waker(Waker::noop());
    let mut outcomes = [None, None];
    let turns = order.iter().copied().chain([0, 1].into_iter().cycle());
    for turn in turns {
        if outcomes[turn].is_none()
            && let Poll::Ready(outcome) = futures[turn].as_mut().poll(&mut context)
        {
            outcomes[turn] = Some(outcome);
        }
        if outcomes.iter().all(Option::is_some) {
            break;
        }
    }
    outcomes.map(Option::unwrap)
}

fn head(table: &Scripted) -> Option<ConfigHead> {
    table.row("config/head").map(|row| row.parse().unwrap())
}

/// What the outcome of a change promises, against the head after everything has settled.
fn is_true(outcome: &Applied, own: &str, head: Option<&ConfigHead>) -> bool {
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

const fn kind(outcome: &Applied) -> &'static str {
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

/// Every fault at each of the first calls, and at each of the first commits.
fn scripts() -> impl Iterator<Item = (Scope, Vec<Fate>)> {
    [Scope::Calls, Scope::Commits]
        .into_iter()
        .flat_map(|scope| {
            let fates = sequences(&FATES, FAULTY_CALLS);
            fates.into_iter().map(move |fates| (scope, fates))
        })
}

/// Two operators race; then each repeats its change without faults.
fn race(scope: Scope, fates: &[Fate], order: &[usize]) -> [Applied; 2] {
    let table = Arc::new(Scripted::new(scope, fates.iter().map(|fate| (*fate, 1))));
    let store = config_store(&table);
    let changes = [change(0, "a"), change(0, "b")];
    let outcomes = run_both(
        [
            Box::pin(store.apply(&changes[0])),
            Box::pin(store.apply(&changes[1])),
        ],
        order,
    );
    table.settle();
    let settled = head(&table);
    let names = ["a", "b"];
    for (outcome, own) in outcomes.iter().zip(names) {
        assert!(
            is_true(outcome, own, settled.as_ref()),
            "{fates:?} {order:?}: {own} was told {outcome:?}, but the head is {settled:?}"
        );
    }
    let again = run_both(
        [
            Box::pin(store.apply(&changes[0])),
            Box::pin(store.apply(&changes[1])),
        ],
        &[],
    );
    let last = head(&table);
    assert!(settled.is_none() || settled == last, "{fates:?} {order:?}");
    for (outcome, own) in again.iter().zip(names) {
        let is_winner = last.as_ref().is_some_and(|h| h.change.as_str() == own);
        assert_eq!(outcome.is_ok(), is_winner, "{fates:?} {order:?}");
        assert!(is_true(outcome, own, last.as_ref()), "{fates:?} {order:?}");
    }
    outcomes
}

#[test]
fn changes_keep_their_promise_under_every_fault() {
    let mut counts = BTreeMap::new();
    for (scope, fates) in scripts() {
        for order in sequences(&[0, 1], CHOICES) {
            let outcomes = race(scope, &fates, &order);
            for outcome in &outcomes {
                *counts.entry(kind(outcome)).or_insert(0) += 1;
            }
            if fates.iter().all(|fate| *fate == Fate::Works) {
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

/// What the outcome of a claim promises, against the row after everything has settled.
fn is_claim_true(
    outcome: &ClaimOutcome,
    own: &SubmissionId,
    holder: Option<&SubmissionId>,
) -> bool {
    match outcome {
        ClaimOutcome::Claimed => holder == Some(own),
        ClaimOutcome::Taken { holder: told } => told != own && holder == Some(told),
        ClaimOutcome::Unavailable { .. } => true,
    }
}

/// Two entries claim one key, each with a claimer of its own.
async fn claim_race(scope: Scope, fates: &[Fate], yields: &[u32]) -> Vec<ClaimOutcome> {
    let steps = fates.iter().copied().zip(yields.iter().copied());
    let table = Arc::new(Scripted::new(scope, steps));
    let group = "aba".parse().unwrap();
    let key = "k".parse().unwrap();
    let claimers = [0, 1].map(|_| {
        Claimer::spawn(
            Arc::clone(&table) as Arc<dyn TableService>,
            ample(),
            ClaimSettings::default(),
        )
    });
    let (first, second) = tokio::join!(
        claimers[0].claim(&group, &key, submission(0)),
        claimers[1].claim(&group, &key, submission(1)),
    );
    table.settle();
    let row = table.row("claim/aba/k");
    let holder = row.map(|row| row.parse::<ClaimRow>().unwrap().holder);
    let outcomes = vec![first, second];
    for (i, outcome) in outcomes.iter().enumerate() {
        assert!(
            is_claim_true(outcome, &submission(i), holder.as_ref()),
            "{fates:?} {yields:?}: {i} was told {outcome:?}, but the holder is {holder:?}"
        );
    }
    outcomes
}

#[tokio::test]
async fn claims_keep_their_promise_under_every_fault() {
    let mut counts = [0; 3];
    for (scope, fates) in scripts() {
        for yields in sequences(&[0, 2], FAULTY_CALLS) {
            for outcome in claim_race(scope, &fates, &yields).await {
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
