//! Targets that take far longer than expected.

use std::collections::BTreeMap;

use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;

/// Mean ratios of run times to expected ones, by target.
#[derive(Debug, Clone)]
pub struct SpeedTracker {
    records: BTreeMap<AgentId, Record>,
    /// Estimate of the median ratio over all targets, which a few slow ones do not move.
    median: f64,
}

impl Default for SpeedTracker {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            median: 1.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    ratio: f64,
    last_result: Moment,
}

/// Weight of the newest run in the ratio of a target.
const TARGET_WEIGHT: f64 = 0.1;
/// Step of the median towards each run.
const MEDIAN_STEP: f64 = 1.02;
/// Ratio to the median of all targets from which a target counts as slow; run times of one service
/// differ too much for a smaller one.
const SLOW_RATIO: f64 = 3.0;
/// Time without a result after which an idle slow target is given another task; recovered targets
/// are missed for this long.
const FORGET_MS: Millis = Millis::new(3_000);

impl SpeedTracker {
    /// Records the ratio of a run time to the expected one.
    pub fn record_finished(&mut self, agent: &AgentId, ratio: f64, now: Moment) {
        if ratio > self.median {
            self.median *= MEDIAN_STEP;
        } else {
            self.median /= MEDIAN_STEP;
        }
        let record = self.records.entry(agent.clone()).or_insert(Record {
            ratio: self.median,
            last_result: now,
        });
        record.ratio += TARGET_WEIGHT * (ratio - record.ratio);
        record.last_result = now;
    }

    /// Records the ratio of several runs that go on.
    pub fn record_running(&mut self, agent: &AgentId, ratio: f64, now: Moment) {
        let median = self.median;
        let record = self.records.entry(agent.clone()).or_insert(Record {
            ratio: median,
            last_result: now,
        });
        if ratio >= SLOW_RATIO * median {
            record.ratio = ratio;
            record.last_result = now;
        } else if record.ratio >= SLOW_RATIO * median {
            record.ratio = ratio;
        }
    }

    /// Whether tasks take far longer there than on all targets.
    #[must_use]
    pub fn is_slow(&self, agent: &AgentId, open_tasks: u32, now: Moment) -> bool {
        self.records.get(agent).is_some_and(|record| {
            let is_due = open_tasks == 0 && now.since(record.last_result) >= FORGET_MS;
            record.ratio >= SLOW_RATIO * self.median && !is_due
        })
    }

    /// Drops the record of an agent that is gone.
    pub fn remove(&mut self, agent: &AgentId) {
        self.records.remove(agent);
    }
}
