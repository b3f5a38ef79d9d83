//! Data model of the JSON file of measured slopes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;

use crate::Fit;
use crate::Point;
use crate::SlopesError;
use crate::error::MissingSlopeSnafu;

/// Cost that a slope describes. Its name in the file is the variant in snake case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlopeName {
    /// Bytes of a renewal that carries nothing else, with its reply.
    RenewalBytes,
    /// CPU time of the entry per renewal.
    EntryRenewalUs,
    /// CPU time of the agent per renewal.
    AgentRenewalUs,
    /// Memory of the entry per session.
    EntrySessionMemoryBytes,
    /// CPU time per second of the entry per idle session.
    EntrySessionUs,
    /// Session bytes per second of an entry whose sessions are all idle.
    EntryIdleBytes,
    /// Memory of the agent per session.
    AgentSessionMemoryBytes,
    /// CPU time per second of the agent per idle session.
    AgentSessionUs,
    /// CPU time of the entry per single request.
    EntryRequestUs,
    /// CPU time of the agent per single request.
    AgentRequestUs,
    /// Session bytes per single request.
    RequestBytes,
    /// CPU time of the entry per task of a job.
    EntryJobTaskUs,
    /// CPU time of the agent per task of a job.
    AgentJobTaskUs,
    /// Session bytes per task of a job.
    JobTaskBytes,
    /// Memory of the entry per open task.
    EntryOpenTaskMemoryBytes,
    /// Bytes per group in the whole configuration that an agent receives.
    GroupBytes,
    /// Memory of the entry per group.
    EntryGroupMemoryBytes,
    /// Memory of the agent per group.
    AgentGroupMemoryBytes,
    /// Bytes per target in the whole configuration that an agent receives.
    TargetBytes,
    /// Memory of the entry per target of the inventory.
    EntryTargetMemoryBytes,
    /// Memory of the agent per target of the inventory.
    AgentTargetMemoryBytes,
    /// Session bytes of one agent per configuration change.
    ChangeBytes,
    /// CPU time of the entry per configuration change.
    EntryChangeUs,
    /// CPU time of the entry for one configuration change, per agent that the entry sends it to.
    EntryChangeAgentUs,
    /// Bytes per session opened, without the configuration.
    AttachBytes,
    /// CPU time of the entry per session opened.
    AttachUs,
    /// CPU time of one agent per configuration change.
    AgentChangeUs,
    /// Store reads per configuration change applied at this entry, its polls included.
    ChangeReads,
    /// Store writes per configuration change.
    ChangeWrites,
    /// Bytes between an entry and the store per configuration change that it reads by polling.
    ChangeStoreBytes,
    /// Memory of the entry per earlier configuration version that it keeps.
    KeptVersionMemoryBytes,
    /// Bytes per second between an idle entry and the store.
    EntryStoreBytes,
    /// Store reads per second of an idle entry.
    EntryReads,
    /// Store writes per second of an idle entry.
    EntryWrites,
    /// Store reads of an entry in the first seconds after its start.
    StartReads,
    /// Store writes of an entry in the first seconds after its start.
    StartWrites,
}

/// Measured points of one slope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What `x` of the points counts; printed in the page.
    #[serde(rename = "size")]
    pub x_label: String,
    /// At least three points, in ascending order of `x`.
    pub points: Vec<Point>,
}

/// Content of the slopes file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Slopes by name; a new measurement replaces only the slopes of its part.
    pub slopes: BTreeMap<SlopeName, Slope>,
}

impl Slopes {
    /// Appends a point; `x_label` is used only if the slope has no points yet.
    pub fn add(&mut self, name: SlopeName, x_label: &str, point: Point) {
        let slope = self.slopes.entry(name).or_insert_with(|| Slope {
            x_label: x_label.to_owned(),
            points: Vec::new(),
        });
        slope.points.push(point);
    }

    /// Fits a line through the points of a slope.
    ///
    /// # Errors
    ///
    /// [`SlopesError::MissingSlope`] if the slope was not measured.
    pub fn fit(&self, name: SlopeName) -> Result<Fit, SlopesError> {
        let slope = self.slopes.get(&name);
        let slope = slope.context(MissingSlopeSnafu { name })?;
        Ok(Fit::of(&slope.points))
    }
}
