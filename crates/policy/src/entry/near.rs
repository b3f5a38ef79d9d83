//! Tasks that prefer targets near their data.

use std::collections::BTreeMap;

use dfs_conf::Config;
use dfs_ids::AgentId;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use dfs_wire::target::Offer;

use super::Entry;
use super::view::AgentView;

impl Entry {
    /// Lets tasks wait for targets near their data for a fixed time instead of while it pays off, so that the two
    /// can be compared in simulations.
    pub const fn assume_near_wait(&mut self, wait_ms: Millis) {
        self.fixed_near_wait_ms = Some(wait_ms);
    }

    /// Factor by which a task takes longer on a target than near its data.
    pub(super) fn far_factor_on(&self, terms: &Terms, offer: &Offer) -> f64 {
        let Some(near) = &terms.near else { return 1.0 };
        if offer.has_label(Some(near)) {
            return 1.0;
        }
        let configured = self.configured_far_factor();
        if configured <= 1.0 {
            return 1.0;
        }
        self.far_factor.factor(configured)
    }

    /// Far factor by the rules; 1 if near data is not considered.
    pub(super) fn configured_far_factor(&self) -> f64 {
        let config = self.config.as_deref();
        config.map_or(1.0, |config| config.rules.placement.far_factor)
    }

    /// The same for the target of an agent; 1 if the target is gone.
    pub(super) fn far_factor_at(&self, terms: &Terms, agent: &AgentId) -> f64 {
        let offer = self.agents.get(agent).and_then(AgentView::offer);
        offer.map_or(1.0, |offer| self.far_factor_on(terms, offer))
    }

    /// Learns the far factor from an ended run; `expected_us` is the run time expected there near the data.
    #[expect(
        clippy::cast_precision_loss,
        reason = "run times stay far below 2^52 µs"
    )]
    pub(super) fn record_locality(
        &mut self,
        agent: &AgentId,
        result: &TaskResult,
        expected_us: f64,
    ) {
        let Some(job) = self.jobs.get(&result.task.submission) else {
            return;
        };
        let offer = self.agents.get(agent).and_then(AgentView::offer);
        if let Some((near, offer)) = job.terms.near.as_ref().zip(offer) {
            let is_near = offer.has_label(Some(near));
            let ratio = result.run_us as f64 / expected_us.max(1.0);
            self.far_factor.record(is_near, ratio);
        }
    }

    /// Keeps track of the agents whose targets have a label.
    pub(super) fn index_labels(&mut self, agent: &AgentId) {
        self.remove_labels(agent);
        let Some(offer) = self.agents.get(agent).and_then(AgentView::offer) else {
            return;
        };
        for label in &offer.labels {
            let agents = self.labels.entry(label.clone()).or_default();
            agents.insert(agent.clone());
        }
    }

    pub(super) fn remove_labels(&mut self, agent: &AgentId) {
        self.labels.retain(|_, agents| {
            agents.remove(agent);
            !agents.is_empty()
        });
    }

    /// Load of the queued tasks that must run on targets with a label, by the label; empty unless tasks may
    /// prefer near targets.
    pub(super) fn required_loads(&self, config: &Config) -> BTreeMap<Label, f64> {
        let mut loads = BTreeMap::new();
        if !config.rules.placement.is_near_data_enabled() {
            return loads;
        }
        for job in self.jobs.values().filter(|job| !job.pending.is_empty()) {
            let Some(label) = &job.terms.label else {
                continue;
            };
            let agents = self.labels.get(label).into_iter().flatten();
            let mut views = agents.filter_map(|agent| self.agents.get(agent));
            let Some(offer) = views.find_map(AgentView::offer) else {
                continue;
            };
            let tasks = u32::try_from(job.pending.len()).unwrap_or(u32::MAX);
            let task_load = offer.fraction_per_task(&job.terms.demand);
            if task_load.is_finite() {
                *loads.entry(label.clone()).or_default() += f64::from(tasks) * task_load;
            }
        }
        loads
    }
}
