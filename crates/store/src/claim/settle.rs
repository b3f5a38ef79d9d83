//! Commits one batch of claims and finds out who holds each key.

use std::sync::Arc;

use serde_json::json;

use super::ClaimOutcome;
use super::ClaimRow;
use super::Waiting;
use super::batch::Batch;
use super::unavailable;
use crate::CommitError;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Commits for one batch, each without the claims that the one before has settled.
const MAX_COMMITS: u32 = 4;

/// Gives every claim of the batch its outcome.
///
/// Repeating an insert is safe: it holds at most once, and the row names its holder.
pub(super) async fn settle(
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    mut batch: Batch,
) {
    let mut last = unconfirmed();
    for commit in 0..MAX_COMMITS {
        if commit > 0 {
            budget.acquire().await;
        }
        match table.commit(inserts(&batch)).await {
            Ok(_) => {
                answer_all(batch, &ClaimOutcome::Claimed);
                return;
            }
            Err(CommitError::NotApplied { source }) => {
                last = source;
                break;
            }
            Err(CommitError::Conflict { .. }) => {}
            Err(CommitError::Unknown { source }) => last = source,
        }
        if let Err(source) = read_back(table.as_ref(), &mut batch).await {
            last = source;
            break;
        }
        if batch.is_empty() {
            return;
        }
    }
    answer_all(batch, &unavailable(last.into()));
}

fn unconfirmed() -> StoreError {
    StoreError::Malformed {
        what: "commit".to_owned(),
        message: "conflict although every condition holds".to_owned(),
    }
}

fn inserts(batch: &Batch) -> Vec<RowWrite> {
    batch
        .values()
        .map(|w| RowWrite::insert(w.key.clone(), json!({ "holder": w.submission })))
        .collect()
}

/// Settles the claims whose rows exist.
async fn read_back(table: &dyn TableService, batch: &mut Batch) -> Result<(), StoreError> {
    let keys: Vec<RowKey> = batch.keys().cloned().collect();
    for row in table.read(keys).await?.into_iter().flatten() {
        let holder = row.parse::<ClaimRow>();
        if let Some(waiting) = batch.remove(&row.key) {
            answer(waiting, holder);
        }
    }
    Ok(())
}

fn answer(waiting: Waiting, holder: Result<ClaimRow, StoreError>) {
    let claim = match holder {
        Ok(ClaimRow { holder }) if holder == waiting.submission => ClaimOutcome::Claimed,
        Ok(ClaimRow { holder }) => ClaimOutcome::Taken { holder },
        Err(source) => unavailable(source.into()),
    };
    send(waiting, claim);
}

fn answer_all(batch: Batch, claim: &ClaimOutcome) {
    for waiting in batch.into_values() {
        send(waiting, claim.clone());
    }
}

/// A caller that has given up does not run, so that its outcome may be dropped.
fn send(waiting: Waiting, claim: ClaimOutcome) {
    let _ = waiting.outcome.send(claim);
}
