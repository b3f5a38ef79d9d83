//! Setting aside targets that fail while others do well on the same service.

use std::collections::BTreeMap;

use dfs_conf::Ejection as EjectionRules;
use dfs_ids::AgentId;
use dfs_ids::Millis;
use dfs_ids::Moment;

/// Failures and ejections of all targets of one entry.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    records: BTreeMap<AgentId, Record>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failures_in_a_row: u32,
    last_success: Option<Moment>,
    ejections: u32,
    until: Option<Moment>,
}

/// Time for which a success counts as doing well.
const RECENT_SUCCESS_MS: Millis = Millis::new(10_000);

impl Ejection {
    /// Records that a task of the target ended well.
    pub fn succeeded(&mut self, agent: &AgentId, now: Moment) {
        let record = self.records.entry(agent.clone()).or_default();
        record.failures_in_a_row = 0;
        record.ejections = 0;
        record.last_success = Some(now);
    }

    /// Records a failure; true if the target is set aside because of it.
    ///
    /// `peers` are all targets of the service.
    pub fn failed(
        &mut self,
        rules: &EjectionRules,
        agent: &AgentId,
        peers: &[AgentId],
        now: Moment,
    ) -> bool {
        let record = self.records.entry(agent.clone()).or_default();
        record.failures_in_a_row += 1;
        if record.failures_in_a_row < rules.failures_in_a_row || record.is_ejected(now) {
            return false;
        }
        if !self.another_does_well(agent, peers, now) || !self.has_room(rules, peers, now) {
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

    /// Drops the record of an agent that is gone.
    pub fn forget(&mut self, agent: &AgentId) {
        self.records.remove(agent);
    }

    fn another_does_well(&self, agent: &AgentId, peers: &[AgentId], now: Moment) -> bool {
        peers.iter().filter(|peer| *peer != agent).any(|peer| {
            let last = self
                .records
                .get(peer)
                .and_then(|record| record.last_success);
            last.is_some_and(|at| now.since(at) <= RECENT_SUCCESS_MS)
        })
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
    fn is_ejected(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
