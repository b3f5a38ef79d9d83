//! Groups claims that wait at the same time into batches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::mpsc;

use super::PendingClaim;
use super::settle::commit_batch;
use crate::RowKey;
use crate::TableService;
use crate::WriteBudget;

/// Claims of one commit, which can insert each key only once.
pub(super) type Batch = BTreeMap<RowKey, PendingClaim>;

/// Commits claims until all senders are dropped and the queue is empty.
///
/// A batch takes the claims that are waiting when the budget allows a write; it does not wait for
/// more claims. Batches are committed concurrently.
pub(super) async fn run(
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    mut queue: mpsc::Receiver<PendingClaim>,
    max_batch: usize,
) {
    let mut deferred = VecDeque::new();
    loop {
        if deferred.is_empty() {
            match queue.recv().await {
                Some(claim) => deferred.push_back(claim),
                None => return,
            }
        }
        budget.acquire().await;
        let batch = take_batch(&mut deferred, &mut queue, max_batch);
        if !batch.is_empty() {
            tokio::spawn(commit_batch(Arc::clone(&table), Arc::clone(&budget), batch));
        }
    }
}

/// Takes waiting claims, first those deferred earlier. Claims whose callers have stopped waiting
/// are dropped, and a second claim of a key in the batch is deferred to the next batch.
fn take_batch(
    deferred: &mut VecDeque<PendingClaim>,
    queue: &mut mpsc::Receiver<PendingClaim>,
    max_batch: usize,
) -> Batch {
    let mut batch = Batch::new();
    let mut repeated = VecDeque::new();
    while batch.len() < max_batch {
        let Some(claim) = deferred.pop_front().or_else(|| queue.try_recv().ok()) else {
            break;
        };
        if claim.outcome.is_closed() {
            continue;
        }
        if batch.contains_key(&claim.key) {
            repeated.push_back(claim);
        } else {
            batch.insert(claim.key.clone(), claim);
        }
    }
    repeated.append(deferred);
    *deferred = repeated;
    batch
}
