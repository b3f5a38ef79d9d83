//! Rows in memory, with commits that are applied whole or not at all.

use std::collections::BTreeMap;

use dfs_store::Condition;
use dfs_store::Revision;
use dfs_store::Row;
use dfs_store::RowChange;
use dfs_store::RowKey;
use dfs_store::RowWrite;

/// All rows and the last revision that was given.
#[derive(Debug, Default)]
pub(super) struct Rows {
    by_key: BTreeMap<RowKey, Row>,
    last: u64,
    commits: u64,
}

impl Rows {
    /// Rows of the keys, in their order.
    pub(super) fn read(&self, keys: &[RowKey]) -> Vec<Option<Row>> {
        keys.iter().map(|k| self.by_key.get(k).cloned()).collect()
    }

    /// Rows whose keys start with a prefix.
    pub(super) fn scan(&self, prefix: &RowKey) -> Vec<Row> {
        self.by_key
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes, or names the rows whose condition does not hold.
    pub(super) fn commit(&mut self, writes: Vec<RowWrite>) -> Result<Revision, Vec<RowKey>> {
        let conflicts: Vec<RowKey> = writes
            .iter()
            .filter(|w| !self.holds(w))
            .map(|w| w.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last += 1;
        self.commits += 1;
        let revision = Revision::new(self.last);
        for write in writes {
            self.write(write, revision);
        }
        Ok(revision)
    }

    /// Commits that were applied.
    pub(super) const fn commits(&self) -> u64 {
        self.commits
    }

    fn holds(&self, write: &RowWrite) -> bool {
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
