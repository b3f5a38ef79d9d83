//! The sizes that are planned for, and the limits.

/// Planned sizes and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizes {
    /// Agents, one beside each target.
    pub agents: f64,
    /// Entries.
    pub entries: f64,
    /// Sessions that an agent keeps.
    pub sessions_per_agent: f64,
    /// Task starts at the peak.
    pub tasks_per_s: f64,
    /// Mean time for which a task is open.
    pub open_task_s: f64,
    /// Groups.
    pub groups: f64,
    /// Failure domains.
    pub domains: f64,
    /// Accepted changes of the configuration.
    pub changes_per_day: f64,
    /// Instances that fail, are restarted or replaced.
    pub replaced_per_day: f64,
    /// Bytes a second that bare renewals may take at one entry.
    pub renewal_bytes_per_s: f64,
    /// Shortest idle interval.
    pub min_idle_s: f64,
    /// Earlier versions of the configuration that an entry keeps.
    pub kept_versions: f64,
    /// Bytes of one entry in the list that an agent gets when it attaches.
    pub entry_address_bytes: f64,
    /// Bytes a second of metrics of one process, from `docs/EVENTS.md`.
    pub metrics_bytes_per_s: f64,
    /// Memory of the histograms of one entry at 450 groups, from `docs/EVENTS.md`.
    pub metrics_memory_bytes: f64,
    /// Processor time of control on one node, in microseconds a second.
    pub limit_control_us: f64,
    /// Memory of control on one node.
    pub limit_memory_bytes: f64,
    /// Bytes a second of control of one node.
    pub limit_bytes_per_s: f64,
    /// Writes a second that the store handles.
    pub limit_writes_per_s: f64,
    /// Reads a second that the store handles.
    pub limit_reads_per_s: f64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            agents: 3_900.0,
            entries: 48.0,
            sessions_per_agent: 16.0,
            tasks_per_s: 280_000.0,
            open_task_s: 1.0,
            groups: 450.0,
            domains: 12.0,
            changes_per_day: 6_700.0,
            replaced_per_day: 599.0,
            renewal_bytes_per_s: 2_048.0,
            min_idle_s: 1.0,
            kept_versions: 16.0,
            entry_address_bytes: 70.0,
            metrics_bytes_per_s: 1_021.0,
            metrics_memory_bytes: 17.2 * 1_048_576.0,
            limit_control_us: 18_000.0,
            limit_memory_bytes: 128.0 * 1_048_576.0,
            limit_bytes_per_s: 4_096.0,
            limit_writes_per_s: 300.0,
            limit_reads_per_s: 2_000.0,
        }
    }
}

impl Sizes {
    /// Sessions of one entry.
    #[must_use]
    pub fn sessions_per_entry(&self) -> f64 {
        self.agents * self.sessions_per_agent / self.entries
    }

    /// Agents that take their configuration from one entry.
    #[must_use]
    pub fn agents_per_entry(&self) -> f64 {
        self.agents / self.entries
    }

    /// Changes in a second.
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / 86_400.0
    }
}
