//! Replaces the configuration by compare-and-set on the head row.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_ids::ConfigVersion;
use serde::Serialize;
use serde_json::Value;

use super::ApplyError;
use super::ConfigChange;
use super::ConfigHead;
use super::ConfigStore;
use super::row::ChangeRow;
use super::row::ConfigBody;
use super::row::VersionRow;
use super::row::change_key;
use super::row::head_key;
use super::row::version_key;
use crate::CommitError;
use crate::Condition;
use crate::ObjectKey;
use crate::Row;
use crate::RowWrite;
use crate::StoreError;

/// Largest number of commits for one change; if the outcome is then still unknown, it is reported
/// as such.
const MAX_COMMITS: u32 = 4;

/// Status of a change as read from its row and the head row.
enum ChangeStatus {
    /// The row of the change exists; the change created this version.
    Accepted(ConfigVersion),
    /// The head is still the base of the change. Holds the condition on the head row under which
    /// the change can be committed.
    Applicable(Condition),
}

impl ConfigStore {
    /// Applies a change and returns the version that it created. Idempotent: a repeated change gets
    /// the result of the first, even if other changes have been accepted since.
    ///
    /// A version that is returned has exactly the configuration of `change`.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Unknown`] if the commits of this call may have been applied; after every other
    /// error they were not and never will be.
    pub async fn apply(&self, change: &ConfigChange) -> Result<ConfigVersion, ApplyError> {
        if change.config.version != change.base.next() {
            return Err(ApplyError::WrongVersion {
                base: change.base,
                found: change.config.version,
            });
        }
        let content = serialize(&change.config)?;
        let digest = ObjectKey::of(&content);
        let mut unknown_outcome = None;
        for _ in 0..MAX_COMMITS {
            let condition = match self
                .read_status(change, &digest, unknown_outcome.as_ref())
                .await?
            {
                ChangeStatus::Accepted(version) => return Ok(version),
                ChangeStatus::Applicable(condition) => condition,
            };
            let body = self.store_body(&change.config, &content, &digest).await;
            let body = body.map_err(|e| apply_error(change, unknown_outcome.as_ref(), e))?;
            match self.commit_change(change, &digest, condition, body).await {
                Ok(()) => return Ok(change.config.version),
                Err(CommitError::Conflict { .. }) => {}
                Err(CommitError::NotApplied { source }) => {
                    return Err(apply_error(change, unknown_outcome.as_ref(), source));
                }
                // Repeating the commit is safe: it inserts the row of the change, so it is applied
                // at most once.
                Err(CommitError::Unknown { source }) => unknown_outcome = Some(source),
            }
        }
        self.final_result(change, &digest, unknown_outcome).await
    }

    /// Result of a change whose last commit was not confirmed.
    async fn final_result(
        &self,
        change: &ConfigChange,
        digest: &ObjectKey,
        unknown_outcome: Option<StoreError>,
    ) -> Result<ConfigVersion, ApplyError> {
        match self
            .read_status(change, digest, unknown_outcome.as_ref())
            .await?
        {
            ChangeStatus::Accepted(version) => Ok(version),
            ChangeStatus::Applicable(_) => {
                let source = unknown_outcome.unwrap_or_else(|| StoreError::Malformed {
                    what: "commit".to_owned(),
                    message: "conflict although every condition holds".to_owned(),
                });
                Err(ApplyError::Unknown {
                    change: change.id.clone(),
                    source,
                })
            }
        }
    }

    /// Reads the head row and the row of the change as of one point in time. With separate reads, a
    /// change accepted in between could be taken for one that lost to another.
    ///
    /// `unknown_outcome` is the error of an earlier commit of this change that may still be
    /// applied.
    async fn read_status(
        &self,
        change: &ConfigChange,
        digest: &ObjectKey,
        unknown_outcome: Option<&StoreError>,
    ) -> Result<ChangeStatus, ApplyError> {
        let keys = vec![head_key(), change_key(&change.id)];
        let rows = self.table.read(keys).await;
        let rows = rows.map_err(|e| apply_error(change, unknown_outcome, e))?;
        let [head, accepted_change]: [Option<Row>; 2] = rows.try_into().unwrap_or_default();
        if let Some(row) = accepted_change {
            let row: ChangeRow = row
                .parse()
                .map_err(|e| apply_error(change, unknown_outcome, e))?;
            return status_of_accepted(change, digest, &row);
        }
        let Some(row) = head else {
            return if change.base == ConfigVersion::default() {
                Ok(ChangeStatus::Applicable(Condition::Absent))
            } else {
                Err(ApplyError::BaseNotFound { base: change.base })
            };
        };
        let head: ConfigHead = row
            .parse()
            .map_err(|e| apply_error(change, unknown_outcome, e))?;
        if head.version == change.base {
            Ok(ChangeStatus::Applicable(Condition::At(row.revision)))
        } else {
            Err(ApplyError::Conflict {
                base: change.base,
                winner: head.version,
                winner_change: head.change,
            })
        }
    }

    /// Writes a configuration that is too large for its row to the object store.
    async fn store_body(
        &self,
        config: &Config,
        content: &[u8],
        digest: &ObjectKey,
    ) -> Result<ConfigBody, StoreError> {
        if content.len() <= self.max_inline_bytes {
            return Ok(ConfigBody::Inline(Box::new(config.clone())));
        }
        self.budget.acquire().await;
        self.objects.put(digest.clone(), content.to_vec()).await?;
        Ok(ConfigBody::Object(digest.clone()))
    }

    /// The diff to store in the row of the version: only if the body is not in the row, and the
    /// diff is small enough to be.
    fn inline_diff(&self, change: &ConfigChange, body: &ConfigBody) -> Option<ConfigDiff> {
        let ConfigBody::Object(_) = body else {
            return None;
        };
        let fits = |diff: &&ConfigDiff| {
            serde_json::to_vec(diff).is_ok_and(|json| json.len() <= self.max_inline_bytes)
        };
        change.diff.as_ref().filter(fits).cloned()
    }

    async fn commit_change(
        &self,
        change: &ConfigChange,
        digest: &ObjectKey,
        condition: Condition,
        body: ConfigBody,
    ) -> Result<(), CommitError> {
        let version = change.config.version;
        let head = ConfigHead {
            version,
            change: change.id.clone(),
        };
        let version_row = VersionRow {
            change: change.id.clone(),
            diff: self.inline_diff(change, &body),
            body,
        };
        let change_row = ChangeRow {
            version,
            content: digest.clone(),
        };
        let writes = vec![
            RowWrite::put(head_key(), condition, to_value(&head)?),
            RowWrite::insert(version_key(version), to_value(&version_row)?),
            RowWrite::insert(change_key(&change.id), to_value(&change_row)?),
        ];
        self.budget.acquire().await;
        self.table.commit(writes).await.map(|_| ())
    }
}

/// Status of a change whose id was accepted before: the same change, or an error if the id was
/// reused.
fn status_of_accepted(
    change: &ConfigChange,
    digest: &ObjectKey,
    row: &ChangeRow,
) -> Result<ChangeStatus, ApplyError> {
    if row.content == *digest {
        return Ok(ChangeStatus::Accepted(row.version));
    }
    Err(ApplyError::ChangeReused {
        change: change.id.clone(),
        version: row.version,
    })
}

fn serialize(config: &Config) -> Result<Vec<u8>, ApplyError> {
    serde_json::to_vec(config).map_err(|e| ApplyError::NotApplied {
        source: StoreError::Malformed {
            what: "configuration".to_owned(),
            message: e.to_string(),
        },
    })
}

/// The error to report when a call fails. The change was certainly not accepted only if no earlier
/// commit has an unknown outcome.
fn apply_error(
    change: &ConfigChange,
    unknown_outcome: Option<&StoreError>,
    source: StoreError,
) -> ApplyError {
    match unknown_outcome {
        None => ApplyError::NotApplied { source },
        Some(_) => ApplyError::Unknown {
            change: change.id.clone(),
            source,
        },
    }
}

fn to_value<T: Serialize>(row: &T) -> Result<Value, CommitError> {
    serde_json::to_value(row).map_err(|e| CommitError::NotApplied {
        source: StoreError::Malformed {
            what: "row".to_owned(),
            message: e.to_string(),
        },
    })
}
