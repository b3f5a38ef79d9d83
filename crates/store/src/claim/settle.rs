//! Commits one batch of claims and determines the holder of each key.

use std::sync::Arc;

use serde_json::json;

use super::ClaimOutcome;
use super::ClaimRow;
use super::PendingClaim;
use super::batch::Batch;
use super::unavailable;
use crate::CommitError;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Largest number of commits for one batch. Each one leaves out the claims that already have an
/// outcome.
const MAX_COMMITS: u32 = 4;

/// Commits the batch and sends every claim its outcome.
///
/// Repeating an insert is safe: it succeeds only if the row does not exist, and the row names its
/// holder.
pub(super) async fn commit_batch(
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    mut batch: Batch,
) {
    let mut last_error = inconsistent_conflict();
    for attempt in 0..MAX_COMMITS {
        if attempt > 0 {
            budget.acquire().await;
        }
        match table.commit(inserts(&batch)).await {
            Ok(_) => {
                complete_all(batch, &ClaimOutcome::Claimed);
                return;
            }
            Err(CommitError::NotApplied { source }) => {
                last_error = source;
                break;
            }
            Err(CommitError::Conflict { .. }) => {}
            Err(CommitError::Unknown { source }) => last_error = source,
        }
        if let Err(source) = complete_existing(table.as_ref(), &mut batch).await {
            last_error = source;
            break;
        }
        if batch.is_empty() {
            return;
        }
    }
    complete_all(batch, &unavailable(last_error.into()));
}

/// Error for a batch in which every commit conflicted although the rows did not exist when read.
fn inconsistent_conflict() -> StoreError {
    StoreError::Malformed {
        what: "commit".to_owned(),
        message: "conflict although every condition holds".to_owned(),
    }
}

fn inserts(batch: &Batch) -> Vec<RowWrite> {
    batch
        .values()
        .map(|claim| RowWrite::insert(claim.key.clone(), json!({ "holder": claim.submission })))
        .collect()
}

/// Reads the rows back and completes the claims whose rows exist, removing them from the batch.
async fn complete_existing(table: &dyn TableService, batch: &mut Batch) -> Result<(), StoreError> {
    let keys: Vec<RowKey> = batch.keys().cloned().collect();
    for row in table.read(keys).await?.into_iter().flatten() {
        let content = row.parse::<ClaimRow>();
        if let Some(claim) = batch.remove(&row.key) {
            complete(claim, content);
        }
    }
    Ok(())
}

fn complete(claim: PendingClaim, content: Result<ClaimRow, StoreError>) {
    let outcome = match content {
        Ok(ClaimRow { holder }) if holder == claim.submission => ClaimOutcome::Claimed,
        Ok(ClaimRow { holder }) => ClaimOutcome::Taken { holder },
        Err(source) => unavailable(source.into()),
    };
    send(claim, outcome);
}

fn complete_all(batch: Batch, outcome: &ClaimOutcome) {
    for claim in batch.into_values() {
        send(claim, outcome.clone());
    }
}

fn send(claim: PendingClaim, outcome: ClaimOutcome) {
    // Fails if the caller has stopped waiting. Its submission does not run then, so the outcome can
    // be dropped.
    let _ = claim.outcome.send(outcome);
}
