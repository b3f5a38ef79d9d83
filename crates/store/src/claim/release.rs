//! Gives back the key of a submission that certainly did not run and never will.

use std::sync::Arc;

use dfs_ids::SubmissionId;

use super::ClaimRow;
use crate::Condition;
use crate::RowKey;
use crate::RowWrite;
use crate::StoreError;
use crate::TableService;
use crate::WriteBudget;

/// Reads before a release is given up; the key then stays taken.
const MAX_READS: u32 = 4;

/// Deletes the row if the submission holds it.
///
/// The deletion holds only at the revision that was read, so it never removes the claim of another
/// submission that came in between.
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
