//! Log of task starts, in order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub unix_us: u64,
    /// Service from the request path.
    pub service: ServiceName,
    /// Request body as received, including fields that the stand-in ignores.
    pub body: Value,
}

/// Log of all task starts on one target; clones share the log.
#[derive(Debug, Clone, Default)]
pub struct StartLog(Arc<Mutex<Vec<Start>>>);

impl StartLog {
    /// Returns the starts so far, oldest first.
    #[must_use]
    pub fn all(&self) -> Vec<Start> {
        self.lock().clone()
    }

    /// Number of starts so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the bodies that were started more than once, with their number of starts.
    #[must_use]
    pub fn duplicates(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for start in self.lock().iter() {
            *counts.entry(start.body.to_string()).or_insert(0) += 1;
        }
        counts.retain(|_, count| *count > 1);
        counts
    }

    pub(super) fn add(&self, service: ServiceName, body: Value) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_us = since_epoch.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX));
        self.lock().push(Start {
            unix_us,
            service,
            body,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Start>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
