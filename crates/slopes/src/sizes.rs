//! Planned size of the deployment, and the resource limits that it is checked against.

/// Planned size of the deployment, and its resource limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizes {
    /// Number of agents; one runs beside each target.
    pub agents: f64,
    /// Number of entries.
    pub entries: f64,
    /// Sessions that an agent keeps open, each to a different entry.
    pub sessions_per_agent: f64,
    /// Peak rate of task starts in the whole pool.
    pub tasks_per_s: f64,
    /// Mean time for which a task is open at its entry.
    pub task_open_s: f64,
    /// Number of groups.
    pub groups: f64,
    /// Number of failure domains.
    pub domains: f64,
    /// Accepted configuration changes.
    pub changes_per_day: f64,
    /// Instances (entries and agents) that fail, are restarted or replaced.
    pub replacements_per_day: f64,
    /// Budget of one entry for renewals that carry nothing else, in bytes per second.
    pub max_renewal_bytes_per_s: f64,
    /// Shortest interval between the renewals of an idle session.
    pub min_idle_interval_s: f64,
    /// Earlier configuration versions that an entry keeps to send diffs from them.
    pub kept_versions: f64,
    /// Bytes per entry in the entry list that an agent receives when it attaches.
    pub entry_address_bytes: f64,
    /// Metrics traffic of one process, from `docs/EVENTS.md`.
    pub metrics_bytes_per_s: f64,
    /// Memory of one entry's histograms at 450 groups, from `docs/EVENTS.md`.
    pub metrics_memory_bytes: f64,
    /// CPU time limit of the control plane on one node, in microseconds per second.
    pub limit_cpu_us_per_s: f64,
    /// Memory limit of the control plane on one node.
    pub limit_memory_bytes: f64,
    /// Traffic limit of the control plane on one node.
    pub limit_bytes_per_s: f64,
    /// Writes that the store sustains.
    pub limit_writes_per_s: f64,
    /// Reads that the store sustains.
    pub limit_reads_per_s: f64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            agents: 3_900.0,
            entries: 48.0,
            sessions_per_agent: 16.0,
            tasks_per_s: 280_000.0,
            task_open_s: 1.0,
            groups: 450.0,
            domains: 12.0,
            changes_per_day: 6_700.0,
            replacements_per_day: 599.0,
            max_renewal_bytes_per_s: 2_048.0,
            min_idle_interval_s: 1.0,
            kept_versions: 16.0,
            entry_address_bytes: 70.0,
            metrics_bytes_per_s: 1_021.0,
            metrics_memory_bytes: 17.2 * 1_048_576.0,
            limit_cpu_us_per_s: 18_000.0,
            limit_memory_bytes: 128.0 * 1_048_576.0,
            limit_bytes_per_s: 4_096.0,
            limit_writes_per_s: 300.0,
            limit_reads_per_s: 2_000.0,
        }
    }
}

impl Sizes {
    /// Mean number of sessions of one entry, assuming an even spread.
    #[must_use]
    pub fn sessions_per_entry(&self) -> f64 {
        self.agents * self.sessions_per_agent / self.entries
    }

    /// Mean number of agents that receive their configuration from one entry; each agent uses one
    /// entry for this.
    #[must_use]
    pub fn agents_per_entry(&self) -> f64 {
        self.agents / self.entries
    }

    /// Mean rate of accepted configuration changes.
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / 86_400.0
    }
}
