//! Setting aside targets that fail while others do well on the same service.

use std::collections::BTreeMap;

use dfs_conf::Ejection as EjectionRules;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;

/// Failures and ejections of all targets of one entry.
#[derive(Debug, Clone, Default)]
pub struct EjectionTracker {
    records: BTreeMap<AgentId, Record>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failures_in_a_row: u32,
    last_success: Option<Moment>,
    /// Part of the latest tasks that failed.
    failure_part: f64,
    /// Ejections since the last success.
    ejections: u32,
    until: Option<Moment>,
}

/// Time for which a success counts as doing well.
const RECENT_SUCCESS_MS: Millis = Millis::new(10_000);
/// Weight of the newest outcome in the part that failed.
const OUTCOME_WEIGHT: f64 = 0.2;
/// How much larger the part must be than that of the other targets, so that work which fails
/// everywhere ejects none.
const MIN_EXCESS: f64 = 0.4;

impl EjectionTracker {
    /// Records that a task of the target ended well.
    pub fn record_success(&mut self, agent: &AgentId, now: Moment) {
        let record = self.records.entry(agent.clone()).or_default();
        record.failures_in_a_row = 0;
        record.ejections = 0;
        record.failure_part *= 1.0 - OUTCOME_WEIGHT;
        record.last_success = Some(now);
    }

    /// Records a failure; true if the target is set aside because of it.
    ///
    /// `peers` are all targets of the service.
    pub fn record_failure(
        &mut self,
        rules: &EjectionRules,
        agent: &AgentId,
        peers: &[AgentId],
        now: Moment,
    ) -> bool {
        let record = self.records.entry(agent.clone()).or_default();
        record.failures_in_a_row += 1;
        record.failure_part += OUTCOME_WEIGHT * (1.0 - record.failure_part);
        let is_enough =
            record.is_on_probation(now) || record.failures_in_a_row >= rules.failures_in_a_row;
        if !is_enough || record.is_ejected(now) {
            return false;
        }
        if !self.others_do_well(agent, peers, now) || !self.has_room(rules, peers, now) {
            return false;
        }
        let record = self.records.entry(agent.clone()).or_default();
        let doubled = rules
            .first_ms
            .get()
            .saturating_mul(1 << record.ejections.min(16));
        record.until = Some(now + Millis::new(doubled.min(rules.max_ms.get())));
        record.ejections += 1;
        record.failures_in_a_row = 0;
        true
    }

    /// Whether the target is set aside.
    #[must_use]
    pub fn is_ejected(&self, agent: &AgentId, now: Moment) -> bool {
        self.records
            .get(agent)
            .is_some_and(|record| record.is_ejected(now))
    }

    /// Whether the target was set aside and has not done well since; it takes one task at a time.
    #[must_use]
    pub fn is_on_probation(&self, agent: &AgentId, now: Moment) -> bool {
        self.records
            .get(agent)
            .is_some_and(|record| record.is_on_probation(now))
    }

    /// Drops the record of an agent that is gone.
    pub fn remove(&mut self, agent: &AgentId) {
        self.records.remove(agent);
    }

    fn others_do_well(&self, agent: &AgentId, peers: &[AgentId], now: Moment) -> bool {
        let records = peers.iter().filter(|peer| *peer != agent);
        let records: Vec<_> = records.filter_map(|peer| self.records.get(peer)).collect();
        let is_recent = |at: Moment| now.since(at) <= RECENT_SUCCESS_MS;
        let does_well = |record: &&Record| record.last_success.is_some_and(is_recent);
        let sum: f64 = records.iter().map(|record| record.failure_part).sum();
        let count = f64::from(u32::try_from(records.len()).unwrap_or(u32::MAX));
        let own = self.records.get(agent).map_or(0.0, |r| r.failure_part);
        records.iter().any(does_well) && own >= sum / count + MIN_EXCESS
    }

    fn has_room(&self, rules: &EjectionRules, peers: &[AgentId], now: Moment) -> bool {
        let ejected = peers
            .iter()
            .filter(|peer| self.is_ejected(peer, now))
            .count();
        let after = f64::from(u32::try_from(ejected + 1).unwrap_or(u32::MAX));
        let all = f64::from(u32::try_from(peers.len()).unwrap_or(u32::MAX));
        after <= all * rules.max_part
    }
}

impl Record {
    fn is_on_probation(&self, now: Moment) -> bool {
        self.ejections > 0 && !self.is_ejected(now)
    }

    fn is_ejected(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
