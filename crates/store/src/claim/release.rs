//! Releases a key whose submission certainly did not run and never will.

use std::sync::Arc;

use dfs_ids::SubmissionId;

use super::ClaimRow;
use crate::Condition;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Largest number of tries to delete the row; after that the key stays taken.
const MAX_READS: u32 = 4;

/// Deletes the row of the key if the submission holds it.
///
/// The deletion is conditional on the revision that was read, so it cannot remove the claim of
/// another submission made since the read.
pub(super) async fn release(
    table: Arc<dyn TableService>,
    budget: Arc<WriteBudget>,
    key: RowKey,
    submission: SubmissionId,
) -> Result<(), StoreError> {
    for _ in 0..MAX_READS {
        let rows = table.read(vec![key.clone()]).await?;
        let Some(row) = rows.into_iter().flatten().next() else {
            return Ok(());
        };
        if row.parse::<ClaimRow>()?.holder != submission {
            return Ok(());
        }
        budget.acquire().await;
        let delete = RowWrite::delete(key.clone(), Condition::At(row.revision));
        if table.commit(vec![delete]).await.is_ok() {
            return Ok(());
        }
    }
    Ok(())
}
