//! Gathers claims that wait together.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::mpsc;

use super::Waiting;
use super::settle::settle;
use crate::RowKey;
use crate::TableService;
use crate::WriteBudget;

/// Claims of one commit; no key twice.
pub(super) type Batch = BTreeMap<RowKey, Waiting>;

/// Commits claims until all senders are dropped.
///
/// A batch takes what waits when the budget allows a write; it never waits to be filled.
pub(super) async fn run(
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    mut queue: mpsc::Receiver<Waiting>,
    max_batch: usize,
) {
    let mut next = VecDeque::new();
    loop {
        if next.is_empty() {
            match queue.recv().await {
                Some(waiting) => next.push_back(waiting),
                None => return,
            }
        }
        budget.acquire().await;
        let batch = take_batch(&mut next, &mut queue, max_batch);
        if !batch.is_empty() {
            tokio::spawn(settle(Arc::clone(&table), Arc::clone(&budget), batch));
        }
    }
}

/// Takes claims whose callers still wait; a second claim of a key stays in `next`.
fn take_batch(
    next: &mut VecDeque<Waiting>,
    queue: &mut mpsc::Receiver<Waiting>,
    max_batch: usize,
) -> Batch {
    let mut batch = Batch::new();
    let mut repeated = VecDeque::new();
    while batch.len() < max_batch {
        let Some(waiting) = next.pop_front().or_else(|| queue.try_recv().ok()) else {
            break;
        };
        if waiting.outcome.is_closed() {
            continue;
        }
        if batch.contains_key(&waiting.key) {
            repeated.push_back(waiting);
        } else {
            batch.insert(waiting.key.clone(), waiting);
        }
    }
    repeated.append(next);
    *next = repeated;
    batch
}
