//! The file of measured slopes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;

use crate::Fit;
use crate::Point;
use crate::SlopesError;
use crate::error::MissingSlopeSnafu;

/// What a slope is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlopeName {
    /// Bytes of a bare renewal with its reply.
    RenewalBytes,
    /// Processor time of the entry for a bare renewal.
    EntryRenewalUs,
    /// Processor time of the agent for a bare renewal.
    AgentRenewalUs,
    /// Memory of the entry for a session.
    EntrySessionMemoryBytes,
    /// Processor time a second of the entry for an idle session.
    EntrySessionUs,
    /// Bytes a second of an idle entry with all its sessions.
    EntryIdleBytes,
    /// Memory of the agent for a session.
    AgentSessionMemoryBytes,
    /// Processor time a second of the agent for an idle session.
    AgentSessionUs,
    /// Processor time of the entry for a single request.
    EntryRequestUs,
    /// Processor time of the agent for a single request.
    AgentRequestUs,
    /// Session bytes of a single request.
    RequestBytes,
    /// Processor time of the entry for a task of a job.
    EntryJobTaskUs,
    /// Processor time of the agent for a task of a job.
    AgentJobTaskUs,
    /// Session bytes of a task of a job.
    JobTaskBytes,
    /// Memory of the entry for an open task.
    EntryOpenTaskMemoryBytes,
    /// Bytes of the whole configuration at an agent for a group.
    GroupBytes,
    /// Memory of the entry for a group.
    EntryGroupMemoryBytes,
    /// Memory of the agent for a group.
    AgentGroupMemoryBytes,
    /// Bytes of the whole configuration at an agent for a target.
    TargetBytes,
    /// Memory of the entry for a target of the inventory.
    EntryTargetMemoryBytes,
    /// Memory of the agent for a target of the inventory.
    AgentTargetMemoryBytes,
    /// Session bytes of one agent for a change.
    ChangeBytes,
    /// Processor time of the entry for a change.
    EntryChangeUs,
    /// Processor time of the entry for one change, by the agents that take it there.
    EntryChangeAgentUs,
    /// Bytes of opening a session, without a configuration.
    AttachBytes,
    /// Processor time of the entry for opening a session.
    AttachUs,
    /// Processor time of one agent for a change.
    AgentChangeUs,
    /// Store reads for a change applied at this entry, its polls included.
    ChangeReads,
    /// Store writes for a change.
    ChangeWrites,
    /// Bytes between an entry and the store for a change that it polls.
    ChangeStoreBytes,
    /// Memory of the entry for an earlier version that it keeps.
    KeptVersionMemoryBytes,
    /// Bytes a second between an idle entry and the store.
    EntryStoreBytes,
    /// Store reads of an entry in a second.
    EntryReads,
    /// Store writes of an entry in a second.
    EntryWrites,
    /// Store reads of an entry in its first seconds.
    StartReads,
    /// Store writes of an entry in its first seconds.
    StartWrites,
}

/// Points of one slope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What `x` counts.
    pub size: String,
    /// At least three, by rising size.
    pub points: Vec<Point>,
}

/// All slopes of a measurement.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// By name.
    pub slopes: BTreeMap<SlopeName, Slope>,
}

impl Slopes {
    /// Adds a point.
    pub fn add(&mut self, name: SlopeName, size: &str, point: Point) {
        let slope = self.slopes.entry(name).or_insert_with(|| Slope {
            size: size.to_owned(),
            points: Vec::new(),
        });
        slope.points.push(point);
    }

    /// The line through the points of a slope.
    ///
    /// # Errors
    ///
    /// It was not measured.
    pub fn fit(&self, name: SlopeName) -> Result<Fit, SlopesError> {
        let slope = self.slopes.get(&name);
        let slope = slope.context(MissingSlopeSnafu { name })?;
        Ok(Fit::of(&slope.points))
    }
}
