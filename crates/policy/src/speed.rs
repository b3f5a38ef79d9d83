//! Targets that take far longer than the others.

use std::collections::BTreeMap;

use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;

/// Mean run times of the targets of one entry.
#[derive(Debug, Clone, Default)]
pub struct Speeds {
    records: BTreeMap<AgentId, Record>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    mean_run_us: f64,
    last_result: Moment,
}

/// Weight of the newest run time in the mean of a target.
const RUN_WEIGHT: f64 = 0.1;
/// Ratio to the mean of all targets from which a target counts as slow; run times of one service
/// differ too much for a smaller one.
const SLOW_RATIO: f64 = 3.0;
/// Time without a result after which an idle target is given another task.
const FORGET_MS: Millis = Millis::new(60_000);

impl Speeds {
    /// Records a run time; `mean_us` is the mean of all targets.
    pub fn ran(&mut self, agent: &AgentId, run_us: f64, mean_us: f64, now: Moment) {
        let record = self.records.entry(agent.clone()).or_insert(Record {
            mean_run_us: mean_us,
            last_result: now,
        });
        record.mean_run_us += RUN_WEIGHT * (run_us - record.mean_run_us);
        record.last_result = now;
    }

    /// Whether tasks take far longer there than on all targets.
    #[must_use]
    pub fn is_slow(&self, agent: &AgentId, mean_us: f64, open_tasks: u32, now: Moment) -> bool {
        self.records.get(agent).is_some_and(|record| {
            let is_due = open_tasks == 0 && now.since(record.last_result) >= FORGET_MS;
            record.mean_run_us >= SLOW_RATIO * mean_us && !is_due
        })
    }

    /// Drops the record of an agent that is gone.
    pub fn forget(&mut self, agent: &AgentId) {
        self.records.remove(agent);
    }
}
