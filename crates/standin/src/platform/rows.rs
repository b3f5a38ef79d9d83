//! In-memory rows with atomic commits.

use std::collections::BTreeMap;

use dfs_store::Condition;
use dfs_store::Revision;
use dfs_store::Row;
use dfs_store::RowChange;
use dfs_store::RowKey;
use dfs_store::RowWrite;

/// All rows, the last revision assigned, and the number of commits applied.
#[derive(Debug, Default)]
pub(super) struct Rows {
    by_key: BTreeMap<RowKey, Row>,
    last_revision: u64,
    commits: u64,
}

impl Rows {
    /// Returns the row of each key, in the order of `keys`; `None` where there is no row.
    pub(super) fn read(&self, keys: &[RowKey]) -> Vec<Option<Row>> {
        keys.iter().map(|k| self.by_key.get(k).cloned()).collect()
    }

    /// Returns the rows whose keys start with `prefix`, in key order.
    pub(super) fn scan(&self, prefix: &RowKey) -> Vec<Row> {
        self.by_key
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes; if a condition does not hold, applies none and returns the keys of the
    /// conflicting writes.
    pub(super) fn commit(&mut self, writes: Vec<RowWrite>) -> Result<Revision, Vec<RowKey>> {
        let conflicts: Vec<RowKey> = writes
            .iter()
            .filter(|w| !self.condition_holds(w))
            .map(|w| w.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last_revision += 1;
        self.commits += 1;
        let revision = Revision::new(self.last_revision);
        for write in writes {
            self.write(write, revision);
        }
        Ok(revision)
    }

    /// Number of commits applied so far.
    pub(super) const fn commits(&self) -> u64 {
        self.commits
    }

    fn condition_holds(&self, write: &RowWrite) -> bool {
        let row = self.by_key.get(&write.key);
        match write.condition {
            Condition::Any => true,
            Condition::Absent => row.is_none(),
            Condition::At(revision) => row.is_some_and(|r| r.revision == revision),
        }
    }

    fn write(&mut self, write: RowWrite, revision: Revision) {
        match write.change {
            RowChange::Delete => {
                self.by_key.remove(&write.key);
            }
            RowChange::Put(value) => {
                let key = write.key;
                let row = Row {
                    key: key.clone(),
                    revision,
                    value,
                };
                self.by_key.insert(key, row);
            }
        }
    }
}
