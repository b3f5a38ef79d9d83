//! Replacing the configuration by compare-and-set on the head row.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_ids::ConfigVersion;
use serde::Serialize;
use serde_json::Value;

use super::ApplyError;
use super::ConfigChange;
use super::ConfigHead;
use super::ConfigStore;
use super::row::Body;
use super::row::ChangeRow;
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

/// Commits sent before an unknown outcome is reported.
const MAX_COMMITS: u32 = 4;

/// What the table service says about a change that is not accepted yet.
enum Standing {
    /// The change row exists.
    Accepted(ConfigVersion),
    /// The head is the base of the change.
    Open(Condition),
}

impl ConfigStore {
    /// Puts a change in force; a repeated change is answered like the first.
    ///
    /// The configuration of an accepted change is always the one that was given here.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] tells a change that certainly is not in force from one that may be.
    pub async fn apply(&self, change: &ConfigChange) -> Result<ConfigVersion, ApplyError> {
        if change.config.version != change.base.next() {
            return Err(ApplyError::WrongVersion {
                base: change.base,
                found: change.config.version,
            });
        }
        let content = serialize(&change.config)?;
        let digest = ObjectKey::of(&content);
        let mut doubt = None;
        for _ in 0..MAX_COMMITS {
            let condition = match self.standing(change, &digest, doubt.as_ref()).await? {
                Standing::Accepted(version) => return Ok(version),
                Standing::Open(condition) => condition,
            };
            let body = self.store_body(&change.config, &content, &digest).await;
            let body = body.map_err(|e| unconfirmed(change, doubt.as_ref(), e))?;
            match self.commit_change(change, &digest, condition, body).await {
                Ok(()) => return Ok(change.config.version),
                Err(CommitError::Conflict { .. }) => {}
                Err(CommitError::NotApplied { source }) => {
                    return Err(unconfirmed(change, doubt.as_ref(), source));
                }
                // Repeating the commit is safe: its conditions hold at most once.
                Err(CommitError::Unknown { source }) => doubt = Some(source),
            }
        }
        self.last_standing(change, &digest, doubt).await
    }

    async fn last_standing(
        &self,
        change: &ConfigChange,
        digest: &ObjectKey,
        doubt: Option<StoreError>,
    ) -> Result<ConfigVersion, ApplyError> {
        match self.standing(change, digest, doubt.as_ref()).await? {
            Standing::Accepted(version) => Ok(version),
            Standing::Open(_) => {
                let source = doubt.unwrap_or_else(|| StoreError::Malformed {
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

    /// Reads head and change row together, so that neither can be older than the other.
    async fn standing(
        &self,
        change: &ConfigChange,
        digest: &ObjectKey,
        doubt: Option<&StoreError>,
    ) -> Result<Standing, ApplyError> {
        let keys = vec![head_key(), change_key(&change.id)];
        let rows = self.table.read(keys).await;
        let rows = rows.map_err(|e| unconfirmed(change, doubt, e))?;
        let [head, accepted]: [Option<Row>; 2] = rows.try_into().unwrap_or_default();
        if let Some(row) = accepted {
            let row: ChangeRow = row.parse().map_err(|e| unconfirmed(change, doubt, e))?;
            return accepted_before(change, digest, &row);
        }
        let Some(row) = head else {
            return if change.base == ConfigVersion::default() {
                Ok(Standing::Open(Condition::Absent))
            } else {
                Err(ApplyError::BaseNotFound { base: change.base })
            };
        };
        let head: ConfigHead = row.parse().map_err(|e| unconfirmed(change, doubt, e))?;
        if head.version == change.base {
            Ok(Standing::Open(Condition::At(row.revision)))
        } else {
            Err(ApplyError::Conflict {
                base: change.base,
                winner: head.version,
                winner_change: head.change,
            })
        }
    }

    async fn store_body(
        &self,
        config: &Config,
        content: &[u8],
        digest: &ObjectKey,
    ) -> Result<Body, StoreError> {
        if content.len() <= self.max_inline_bytes {
            return Ok(Body::Inline(Box::new(config.clone())));
        }
        self.budget.acquire().await;
        self.objects.put(digest.clone(), content.to_vec()).await?;
        Ok(Body::Object(digest.clone()))
    }

    /// The difference for the row of a version whose body is not in the row.
    fn diff_of(&self, change: &ConfigChange, body: &Body) -> Option<ConfigDiff> {
        let Body::Object(_) = body else { return None };
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
        body: Body,
    ) -> Result<(), CommitError> {
        let version = change.config.version;
        let head = ConfigHead {
            version,
            change: change.id.clone(),
        };
        let row = VersionRow {
            change: change.id.clone(),
            diff: self.diff_of(change, &body),
            body,
        };
        let accepted = ChangeRow {
            version,
            content: digest.clone(),
        };
        let writes = vec![
            RowWrite::put(head_key(), condition, to_value(&head)?),
            RowWrite::insert(version_key(version), to_value(&row)?),
            RowWrite::insert(change_key(&change.id), to_value(&accepted)?),
        ];
        self.budget.acquire().await;
        self.table.commit(writes).await.map(|_| ())
    }
}

/// What the row of an accepted change says of this one.
fn accepted_before(
    change: &ConfigChange,
    digest: &ObjectKey,
    row: &ChangeRow,
) -> Result<Standing, ApplyError> {
    if row.content == *digest {
        return Ok(Standing::Accepted(row.version));
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

/// A failure that ends an attempt: certain only if no earlier commit is in doubt.
fn unconfirmed(
    change: &ConfigChange,
    doubt: Option<&StoreError>,
    source: StoreError,
) -> ApplyError {
    match doubt {
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
