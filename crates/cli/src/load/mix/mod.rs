//! The mix file: rate, duration, groups and sizes of a load.

mod check;

use derive_more::Display;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::options::Token;

pub use check::MixError;

/// Contents of a mix file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Free text for readers of the file; ignored by the tool.
    #[serde(default, rename = "description")]
    pub _description: Option<String>,
    /// Random seed of arrival times and sizes; the same seed sends the same work.
    pub seed: u64,
    /// Mean rate of submissions per second, without bursts.
    pub rate_per_s: f64,
    /// Time during which submissions arrive.
    pub duration_ms: Millis,
    /// Longest wait for open submissions after `duration_ms`.
    pub drain_ms: Millis,
    /// Maximum number of open submissions, each on its own connection; further ones are not sent.
    pub max_open: u32,
    /// Whether non-loopback entry addresses are allowed.
    #[serde(default)]
    pub allow_remote: bool,
    /// Bursts in addition to the Poisson arrivals.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Declared run time as a multiple of the longest task's; if absent, none is declared.
    #[serde(default)]
    pub declared: Option<DeclaredFactor>,
    /// Groups that submit, with their weights.
    pub groups: Vec<GroupLoad>,
    /// Kinds of submissions, with their weights.
    pub classes: Vec<ClassLoad>,
    /// Ranges of task run times, with their weights.
    pub run_times: Vec<RunTimeRange>,
}

/// Submissions that arrive together at a fixed interval.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Interval between bursts.
    pub every_ms: Millis,
    /// Number of submissions per burst.
    pub submissions: u32,
}

/// Range of the ratio of declared to actual run time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredFactor {
    /// Lowest ratio.
    pub min: f64,
    /// Highest ratio.
    pub max: f64,
}

/// One group that submits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupLoad {
    /// Group name shown in the report.
    pub group: GroupId,
    /// Bearer token of the group.
    pub token: Token,
    /// Service that the group calls.
    pub service: ServiceName,
    /// Relative frequency among the groups.
    pub weight: f64,
}

/// Name of a class in the report.
#[derive(Debug, Clone, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClassName(String);

/// One kind of submission.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Class name shown in the report.
    pub class: ClassName,
    /// Relative frequency among the classes.
    pub weight: f64,
    /// Deadline; if absent, the default of the rules applies.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// Job or request.
    pub submit: Submit,
}

/// What a class submits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Submit {
    /// A job with a uniformly distributed number of tasks.
    Job {
        /// Fewest tasks.
        min_tasks: u32,
        /// Most tasks.
        max_tasks: u32,
    },
    /// A single request.
    Request {
        /// Whether the request may be run more than once.
        repeatable: bool,
    },
}

/// A range of uniformly distributed run times.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeRange {
    /// Relative frequency among the ranges.
    pub weight: f64,
    /// Shortest run time.
    pub min_ms: Millis,
    /// Longest run time.
    pub max_ms: Millis,
}
