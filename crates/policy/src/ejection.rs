//! Outlier detection: ejects targets that keep failing while their peers succeed.
//!
//! An ejected target gets no tasks until its ejection interval is over. It is then on probation: it
//! gets one task at a time until one succeeds, and the first failure can eject it again, for twice as
//! long.

use std::collections::BTreeMap;

use dfs_conf::Ejection as EjectionRules;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;

/// Task outcomes and ejections as one entry has seen them, by the agent of each target.
#[derive(Debug, Clone, Default)]
pub struct EjectionTracker {
    records: BTreeMap<AgentId, Record>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    consecutive_failures: u32,
    last_success: Option<Moment>,
    /// Exponentially weighted moving average over the tasks: 0 if none fails, 1 if all do.
    failure_rate: f64,
    /// Ejections since the last success; each one doubles the next interval.
    ejections: u32,
    ejected_until: Option<Moment>,
}

/// Age up to which a success of a peer shows that the service works elsewhere.
const MAX_SUCCESS_AGE_MS: Millis = Millis::new(10_000);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Least difference between the failure rate of a target and the mean rate of its peers, so that tasks
/// that fail on every target eject none.
const MIN_FAILURE_RATE_EXCESS: f64 = 0.4;

impl EjectionTracker {
    /// Records a task that succeeded on the target; this ends a probation.
    pub fn record_success(&mut self, agent: &AgentId, now: Moment) {
        let record = self.records.entry(agent.clone()).or_default();
        record.consecutive_failures = 0;
        record.ejections = 0;
        record.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        record.last_success = Some(now);
    }

    /// Records a task that failed on the target and returns whether the target is ejected for it.
    ///
    /// `peers` are the agents of all targets that share a service with this one, itself included.
    /// The target is kept if no peer has succeeded recently, if the peers fail nearly as often, or if
    /// more than the allowed fraction of them would be ejected.
    pub fn record_failure(
        &mut self,
        rules: &EjectionRules,
        agent: &AgentId,
        peers: &[AgentId],
        now: Moment,
    ) -> bool {
        let record = self.records.entry(agent.clone()).or_default();
        record.consecutive_failures += 1;
        record.failure_rate += OUTCOME_WEIGHT * (1.0 - record.failure_rate);
        let has_failed_enough =
            record.is_on_probation(now) || record.consecutive_failures >= rules.failures_in_a_row;
        if !has_failed_enough || record.is_ejected(now) {
            return false;
        }
        if !self.is_outlier(agent, peers, now) || !self.may_eject_another(rules, peers, now) {
            return false;
        }
        let record = self.records.entry(agent.clone()).or_default();
        let interval_ms = rules
            .first_ms
            .get()
            .saturating_mul(1 << record.ejections.min(16));
        record.ejected_until = Some(now + Millis::new(interval_ms.min(rules.max_ms.get())));
        record.ejections += 1;
        record.consecutive_failures = 0;
        true
    }

    /// Whether the target must not get tasks now.
    #[must_use]
    pub fn is_ejected(&self, agent: &AgentId, now: Moment) -> bool {
        self.records
            .get(agent)
            .is_some_and(|record| record.is_ejected(now))
    }

    /// Whether the target is back from an ejection without a success since then; the caller places one
    /// task at a time on it.
    #[must_use]
    pub fn is_on_probation(&self, agent: &AgentId, now: Moment) -> bool {
        self.records
            .get(agent)
            .is_some_and(|record| record.is_on_probation(now))
    }

    /// Drops what is known of the target; a new incarnation of its agent starts without failures.
    pub fn remove(&mut self, agent: &AgentId) {
        self.records.remove(agent);
    }

    fn is_outlier(&self, agent: &AgentId, peers: &[AgentId], now: Moment) -> bool {
        let others = peers.iter().filter(|peer| *peer != agent);
        let others: Vec<_> = others.filter_map(|peer| self.records.get(peer)).collect();
        let is_recent = |at: Moment| now.since(at) <= MAX_SUCCESS_AGE_MS;
        let has_succeeded = |record: &&Record| record.last_success.is_some_and(is_recent);
        let sum: f64 = others.iter().map(|record| record.failure_rate).sum();
        let count = f64::from(u32::try_from(others.len()).unwrap_or(u32::MAX));
        let own = self.records.get(agent).map_or(0.0, |r| r.failure_rate);
        others.iter().any(has_succeeded) && own >= sum / count + MIN_FAILURE_RATE_EXCESS
    }

    fn may_eject_another(&self, rules: &EjectionRules, peers: &[AgentId], now: Moment) -> bool {
        let ejected = peers
            .iter()
            .filter(|peer| self.is_ejected(peer, now))
            .count();
        let ejected_then = f64::from(u32::try_from(ejected + 1).unwrap_or(u32::MAX));
        let all = f64::from(u32::try_from(peers.len()).unwrap_or(u32::MAX));
        ejected_then <= all * rules.max_part
    }
}

impl Record {
    fn is_on_probation(&self, now: Moment) -> bool {
        self.ejections > 0 && !self.is_ejected(now)
    }

    fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
